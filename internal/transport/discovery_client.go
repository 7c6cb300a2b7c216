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

// firstWatchWait is how long discovery is told to wait in the first poll for changes.
const firstWatchWait = time.Millisecond

var (
	// errDiscoveryTimeout says that discovery sent nothing, or nothing more, for as long as it is waited for.
	errDiscoveryTimeout = errors.New("no response from discovery in time")
	// errListTooLarge says that an endpoint list is longer than protocol.MaxEndpointListBytes.
	errListTooLarge = errors.New("endpoint list too large")
)

// DiscoveryClient polls discovery for the endpoint list.
type DiscoveryClient struct {
	address       string
	names         *protocol.Names
	transport     http.RoundTripper
	polledChanges bool // it has been polled for changes
}

// NewDiscoveryClient returns a client of the discovery service at an address.
func NewDiscoveryClient(address string, names *protocol.Names) *DiscoveryClient {
	return &DiscoveryClient{
		address: address,
		names:   names,
		transport: &http.Transport{
			DisableCompression: true,
			MaxConnsPerHost:    1,
			// Polls follow at once, so a connection that is idle for longer is to an agent that is not polled any more.
			IdleConnTimeout:        protocol.WatchWait,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
	}
}

// Poll gets the whole endpoint list, or waits for changes since a version. The first poll for changes does not wait, so
// that a process that takes over soon knows whether its list is the current one. Polls must be made one at a time.
func (d *DiscoveryClient) Poll(ctx context.Context, since int64, full bool) (*protocol.EndpointList, error) {
	if full {
		return d.pollList(ctx)
	}
	return d.pollChanges(ctx, since)
}

// pollList gets the whole list. Discovery is given up when it sends nothing for protocol.WatchSilence, or goes on
// sending for longer than protocol.WatchWait. A limit for the whole response alone would never let a list of
// thousands of endpoints through that takes its time to come.
func (d *DiscoveryClient) pollList(ctx context.Context) (*protocol.EndpointList, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(protocol.WatchSilence, func() { cancel(errDiscoveryTimeout) })
	defer timer.Stop()
	deadline := time.Now().Add(max(protocol.WatchSilence, protocol.WatchWait))
	onProgress := func() { timer.Reset(min(protocol.WatchSilence, time.Until(deadline))) }
	return d.get(ctx, d.target(), onProgress)
}

// pollChanges waits for changes since a version.
func (d *DiscoveryClient) pollChanges(ctx context.Context, since int64) (*protocol.EndpointList, error) {
	wait := protocol.WatchWait
	if !d.polledChanges {
		wait = firstWatchWait
	}
	d.polledChanges = true
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(wait+protocol.WatchSilence, func() { cancel(errDiscoveryTimeout) })
	defer timer.Stop()
	target := fmt.Sprintf("%s?since=%d&timeout_ms=%d", d.target(), since, wait.Milliseconds())
	return d.get(ctx, target, func() {})
}

func (d *DiscoveryClient) target() string { return "http://" + d.address + "/api/targets" }

// get sends a poll and decodes its response. onProgress is called each time a part of the body was read.
func (d *DiscoveryClient) get(ctx context.Context, target string, onProgress func()) (*protocol.EndpointList, error) {
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
		return nil, fmt.Errorf("discovery responded %s: %w", response.Status, protocol.ErrNoNews)
	}
	body := &progressReader{Reader: response.Body, onProgress: onProgress}
	text, err := io.ReadAll(io.LimitReader(body, protocol.MaxEndpointListBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > protocol.MaxEndpointListBytes {
		return nil, fmt.Errorf("%w: over %d bytes", errListTooLarge, protocol.MaxEndpointListBytes)
	}
	return protocol.DecodeEndpointList(text, d.names)
}

// progressReader calls onProgress each time something has been read.
type progressReader struct {
	io.Reader
	onProgress func()
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.onProgress()
	}
	return n, err
}
