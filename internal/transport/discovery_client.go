// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"fernrail/internal/protocol"
)

// errDiscoveryTimeout says that discovery said nothing, or nothing more, for as long as it is waited for.
var errDiscoveryTimeout = errors.New("discovery is silent")

// DiscoveryClient asks for the list of executors.
type DiscoveryClient struct {
	address       string
	names         *protocol.Names
	transport     http.RoundTripper
	polledChanges bool // it has been asked for changes
}

func NewDiscoveryClient(address string, names *protocol.Names) *DiscoveryClient {
	return &DiscoveryClient{address: address, names: names, transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1,
		IdleConnTimeout:        protocol.WatchWait, // calls follow at once; an agent that was left keeps no descriptor
		MaxResponseHeaderBytes: 16 << 10}}
}

// Poll gets the whole list, or waits for changes since a version. The first such call does not wait: it tells what has
// changed by now, or that nothing has. Calls are made one at a time.
// Danger: a process that takes over serves on a list of which it does not know whether it is the present one.
func (d *DiscoveryClient) Poll(ctx context.Context, since int64, whole bool) (*protocol.EndpointList, error) {
	limit, target := protocol.WatchSilence, "http://"+d.address+"/api/targets"
	if !whole {
		wait := protocol.WatchWait
		if !d.polledChanges {
			wait = time.Millisecond
		}
		d.polledChanges, limit = true, limit+wait
		target += fmt.Sprintf("?since=%d&timeout_ms=%d", since, wait.Milliseconds())
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// Danger: a whole list of thousands that takes its time to come is given up, asked for again, and never there.
	silent := time.AfterFunc(limit, func() { cancel(errDiscoveryTimeout) })
	defer silent.Stop()
	last := time.Now().Add(max(limit, protocol.WatchWait))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	response, err := d.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery answered %s: %w", response.Status, protocol.ErrNoNews)
	}
	body := &progressReader{response.Body, func() {
		if whole {
			silent.Reset(min(protocol.WatchSilence, time.Until(last)))
		}
	}}
	text, err := io.ReadAll(io.LimitReader(body, protocol.MaxEndpointListBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > protocol.MaxEndpointListBytes {
		return nil, fmt.Errorf("a list of over %d bytes", protocol.MaxEndpointListBytes)
	}
	return protocol.DecodeEndpointList(text, d.names)
}

// progressReader tells each time something has been read.
type progressReader struct {
	io.Reader
	progress func()
}

func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.progress()
	}
	return n, err
}
