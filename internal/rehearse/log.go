package rehearse

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// logName is the file name of a folder's record: append-only, with one checksummed line per entry.
const logName = "rehearsal.log"

// Entry is one line of the record.
type Entry struct {
	At       time.Time `json:"at"`
	What     string    `json:"what"` // plan, begin, process, ended, fault, result, interrupted, resume
	Scenario string    `json:"scenario,omitempty"`
	Seed     uint64    `json:"seed,omitempty"`
	Source   string    `json:"source,omitempty"` // plan: the scenario's text
	File     string    `json:"file,omitempty"`   // plan: the file that the scenario was read from
	Process  *Process  `json:"process,omitempty"`
	Detail   string    `json:"detail,omitempty"`
	Result   string    `json:"result,omitempty"`
}

// Log is the open record of a folder. It is safe for concurrent use.
type Log struct {
	mu sync.Mutex
	f  *os.File
}

// OpenLog opens a folder's record, reads it and truncates a last line that a crash left
// incomplete. An invalid line before the last one is an error, because something else wrote
// to the file; the file is then left unchanged.
func OpenLog(dir string) (*Log, []Entry, error) {
	f, err := os.OpenFile(filepath.Join(dir, logName), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, nil, err
	}
	entries, good, err := readLog(f)
	if err == nil {
		err = f.Truncate(good)
	}
	if err == nil {
		_, err = f.Seek(good, io.SeekStart)
	}
	if err != nil {
		_ = f.Close()
		return nil, nil, err
	}
	return &Log{f: f}, entries, nil
}

// readLog returns the entries and the length in bytes of the valid part.
func readLog(r io.Reader) (out []Entry, good int64, err error) {
	br := bufio.NewReader(r)
	for n := 1; ; n++ {
		line, rerr := br.ReadBytes('\n')
		if rerr != nil && rerr != io.EOF {
			return out, good, rerr
		}
		if len(line) == 0 {
			return out, good, nil
		}
		e, perr := parseLine(line)
		if perr != nil {
			if _, more := br.Peek(1); more == nil {
				return out, good, fmt.Errorf("%s:%d: %w, followed by more lines", logName, n, perr)
			}
			return out, good, nil // the last line, left incomplete by a crash
		}
		out = append(out, e)
		good += int64(len(line))
	}
}

func parseLine(line []byte) (e Entry, err error) {
	sum, body, ok := strings.Cut(string(line), " ")
	body, whole := strings.CutSuffix(body, "\n")
	want, perr := strconv.ParseUint(sum, 16, 64)
	if !ok || !whole || perr != nil || xxhash.Sum64String(body) != want {
		return e, fmt.Errorf("line with an invalid checksum")
	}
	return e, json.Unmarshal([]byte(body), &e)
}

// Add appends an entry and syncs it to disk before it returns.
func (l *Log) Add(e Entry) error {
	e.At = time.Now().UTC()
	b, err := json.Marshal(e)
	if err != nil {
		return err
	}
	var line bytes.Buffer
	fmt.Fprintf(&line, "%016x %s\n", xxhash.Sum64(b), b)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.f.Write(line.Bytes()); err != nil {
		return err
	}
	return l.f.Sync()
}

// Close closes the record's file.
func (l *Log) Close() error { return l.f.Close() }
