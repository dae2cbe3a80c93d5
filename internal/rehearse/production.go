package rehearse

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/barrowbridge/barrowbridge/internal/tomlfile"
)

// service is the content of deploy/service.toml.
type service struct {
	Build      string `toml:"build"`
	Run        string `toml:"run"`
	Production string `toml:"production"` // commit of the version in production
}

// Production returns the root of the repository that contains a folder, and the commit that its
// deploy/service.toml names as the version in production.
func Production(dir string) (repo, commit string, err error) {
	if dir, err = filepath.Abs(dir); err != nil {
		return "", "", err
	}
	for d := dir; ; d = filepath.Dir(d) {
		file := filepath.Join(d, "deploy", "service.toml")
		b, err := os.ReadFile(file)
		if errors.Is(err, os.ErrNotExist) {
			if d == filepath.Dir(d) {
				return "", "", fmt.Errorf("%s is not in a checkout of this program: no deploy/service.toml in it or a folder above", dir)
			}
			continue
		}
		if err != nil {
			return "", "", err
		}
		var s service
		if err := tomlfile.Decode(file, b, &s); err != nil {
			return "", "", err
		}
		if s.Production == "" {
			return "", "", fmt.Errorf("%s: production: missing", file)
		}
		return d, s.Production, nil
	}
}

// BuildCommit checks out and builds a commit of a repository in dir and returns the path of the program.
func BuildCommit(ctx context.Context, repo, commit, dir string) (program string, err error) {
	if _, err := exec.LookPath("git"); err != nil {
		return "", errors.New("git is needed to build an earlier version, and is not installed")
	}
	if _, err := exec.LookPath("go"); err != nil {
		return "", errors.New("go is needed to build an earlier version, and is not installed")
	}
	if _, err := output(ctx, repo, "git", "cat-file", "-e", commit+"^{commit}"); err != nil {
		why := "is not in the history of " + repo
		if shallow, err := output(ctx, repo, "git", "rev-parse", "--is-shallow-repository"); err != nil {
			why = "cannot be searched for: " + err.Error()
		} else if shallow == "true" {
			why = "is not in this shallow clone; get the history with: git fetch --unshallow"
		}
		return "", fmt.Errorf("the commit %s %s", commit, why)
	}
	source := filepath.Join(dir, "source")
	if _, err := output(ctx, repo, "git", "clone", "--quiet", "--shared", "--no-checkout", repo, source); err != nil {
		return "", err
	}
	if _, err := output(ctx, source, "git", "checkout", "--quiet", "--detach", commit); err != nil {
		return "", err
	}
	program = filepath.Join(dir, "barrowbridge")
	_, err = output(ctx, source, "go", "build", "-o", program, "./cmd/barrowbridge")
	return program, err
}

// output runs a program in a folder and returns its standard output. An error carries the program's
// standard error on one line.
func output(ctx context.Context, dir, name string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil {
		return "", fmt.Errorf("%s %s: %w: %s", name, args[0], err, strings.Join(strings.Fields(errs.String()), " "))
	}
	return strings.TrimSpace(out.String()), nil
}
