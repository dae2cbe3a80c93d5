// Package cloud is the client of the cloud's API. It keeps to a share of the cloud's rate limit.
package cloud

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"golang.org/x/time/rate"

	"github.com/barrowbridge/barrowbridge/internal/cborhttp"
	"github.com/barrowbridge/barrowbridge/internal/core"
	"github.com/barrowbridge/barrowbridge/internal/tuning"
	"github.com/barrowbridge/barrowbridge/wire"
)

// Client makes calls of the cloud. It is safe for concurrent use.
type Client struct {
	base  string
	http  *http.Client
	calls *rate.Limiter
}

// New returns a client of the cloud at addr, with the cloud's limit in requests per second.
func New(addr string, rps float64) *Client {
	return &Client{
		base:  "http://" + addr,
		http:  cborhttp.NewClient(tuning.CloudCallTimeout, 8),
		calls: rate.NewLimiter(rate.Limit(rps*tuning.CloudCallShare), max(1, int(rps*tuning.CloudCallShare))),
	}
}

// Do performs one call. Status 0 means that no usable answer came.
func (c *Client) Do(ctx context.Context, call core.CloudCall) core.CloudReply {
	ctx, cancel := context.WithTimeout(ctx, tuning.CloudCallTimeout)
	defer cancel()
	if err := c.calls.Wait(ctx); err != nil {
		return core.CloudReply{Status: http.StatusTooManyRequests, Err: "own call limit"}
	}
	var (
		method = http.MethodGet
		path   string
		body   any
		into   any
		types  wire.MachineTypes
		names  wire.MachineNames
		list   wire.MachineList
	)
	switch call.Op {
	case core.OpTypes:
		path, into = "/machine_types", &types
	case core.OpMachines:
		query := url.Values{"page": {strconv.Itoa(500)}}
		if call.After != "" {
			query.Set("after", call.After)
		}
		path, into = "/hosts?"+query.Encode(), &list
	case core.OpRent:
		method, path, body, into = http.MethodPost, "/hosts", call.Rent, &names
	case core.OpDelete:
		method, path, body = http.MethodPost, "/hosts/delete", wire.MachineNames{Machines: call.Names}
	}
	status, raw, err := cborhttp.RoundTrip(ctx, c.http, method, c.base+path, body)
	if err != nil {
		return core.CloudReply{Err: err.Error()}
	}
	reply := core.CloudReply{Status: status}
	if status == http.StatusOK && into != nil {
		if err := wire.Unmarshal(raw, into); err != nil {
			return core.CloudReply{Err: "bad answer: " + err.Error()}
		}
	} else if status != http.StatusOK {
		var p wire.Problem
		if wire.Unmarshal(raw, &p) == nil {
			reply.Err = p.Error
		}
	}
	reply.Types, reply.Names, reply.List = types.Types, names.Machines, list
	return reply
}
