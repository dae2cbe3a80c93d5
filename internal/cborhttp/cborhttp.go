// Package cborhttp makes one HTTP call with CBOR bodies, as the outside
// services ask for it.
package cborhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/barrowbridge/barrowbridge/wire"
)

// maxReply bounds a reply in bytes; a watch has no size limit of its own.
const maxReply = 16 << 20

// NewClient returns a client with at most conns connections to its host.
func NewClient(dial time.Duration, conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dial}).DialContext,
		MaxIdleConnsPerHost: 8, MaxConnsPerHost: conns, IdleConnTimeout: time.Minute,
		DisableCompression: true,
	}}
}

// RoundTrip sends body (nil: none) and returns status and raw answer.
func RoundTrip(ctx context.Context, hc *http.Client, method, url string, body any) (int, []byte, error) {
	status, _, raw, err := Exchange(ctx, hc, method, url, body)
	return status, raw, err
}

// Exchange is RoundTrip for those who need the answer's header as well.
func Exchange(ctx context.Context, hc *http.Client, method, url string, body any) (int, http.Header, []byte, error) {
	var rd io.Reader
	if body != nil {
		b, err := wire.Marshal(body)
		if err != nil {
			return 0, nil, nil, err
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, rd)
	if err != nil {
		return 0, nil, nil, err
	}
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := hc.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return 0, nil, nil, err
	}
	return resp.StatusCode, resp.Header, raw, nil
}
