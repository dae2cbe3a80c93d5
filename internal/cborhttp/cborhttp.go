// Package cborhttp makes HTTP calls with CBOR bodies, as the state service, the cloud and the workers
// expect them.
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

// maxReply is the largest response body in bytes; the protocol sets no limit for the answer to a
// watch.
const maxReply = 16 << 20

// NewClient returns an HTTP client with the given timeout for connecting and at most conns
// connections to a host.
func NewClient(dial time.Duration, conns int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dial}).DialContext,
		MaxIdleConnsPerHost: 8, MaxConnsPerHost: conns, IdleConnTimeout: time.Minute,
		DisableCompression: true,
	}}
}

// RoundTrip sends a request with body, if that is not nil, and returns the status and the encoded
// body of the response.
func RoundTrip(ctx context.Context, client *http.Client, method, url string, body any) (int, []byte, error) {
	status, _, raw, err := Exchange(ctx, client, method, url, body)
	return status, raw, err
}

// Exchange does the same as RoundTrip and returns the header of the response as well.
func Exchange(ctx context.Context, client *http.Client, method, url string, body any) (int, http.Header, []byte, error) {
	var reader io.Reader
	if body != nil {
		b, err := wire.Marshal(body)
		if err != nil {
			return 0, nil, nil, err
		}
		reader = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil, nil, err
	}
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := client.Do(req)
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
