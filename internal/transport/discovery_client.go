// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"fernrail/internal/protocol"
)

const (
	// firstWatchWait is the long-poll time-out sent to discovery in the first poll for changes.
	firstWatchWait = time.Millisecond
	// discoveryDialTimeout limits the time to connect to discovery. It includes the second SYN of the kernel,
	// after 1 s; further ones are sent at growing intervals, later than a new dial.
	discoveryDialTimeout = 3 * protocol.WatchResponseMargin / 2
)

var (
	// errDiscoveryTimeout is returned if discovery sent no response, or only part of one, before the
	// time-out.
	errDiscoveryTimeout = errors.New("discovery poll timed out")
	// errListTooLarge is returned for an endpoint list longer than protocol.MaxEndpointListBytes.
	errListTooLarge = errors.New("endpoint list too large")
)

// DiscoveryClient polls discovery for the endpoint list.
type DiscoveryClient struct {
	address       string
	names         *protocol.Names
	transport     http.RoundTripper
	dialContext   func(ctx context.Context, network, address string) (net.Conn, error)
	polledChanges bool // at least one poll for changes was made
}

// NewDiscoveryClient returns a client for the discovery service at an address.
func NewDiscoveryClient(address string, names *protocol.Names) *DiscoveryClient {
	d := &DiscoveryClient{address: address, names: names, dialContext: (&net.Dialer{}).DialContext}
	d.transport = &http.Transport{
		DialContext:        d.dial,
		DisableCompression: true,
		MaxConnsPerHost:    1,
		// Each poll follows the previous one immediately, so a connection that is idle for longer belongs
		// to an agent that is no longer polled.
		IdleConnTimeout:        protocol.WatchWait,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return d
}

// dial opens a connection to discovery. http.Transport does not end a dial with the request for which it was made,
// and the dial holds the one connection that is allowed.
func (d *DiscoveryClient) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, discoveryDialTimeout)
	defer cancel()
	return d.dialContext(ctx, network, address)
}

// Poll gets the full endpoint list, or waits for changes since a version. The first poll for changes does not
// wait, so that a process that takes over finds out quickly whether its list is current. Polls must not be
// concurrent.
func (d *DiscoveryClient) Poll(ctx context.Context, since int64, full bool) (*protocol.EndpointList, error) {
	if full {
		return d.pollList(ctx)
	}
	return d.pollChanges(ctx, since)
}

// pollList gets the full list. The poll fails if discovery sends nothing for protocol.WatchResponseMargin, or
// if the response takes longer than the larger of protocol.WatchResponseMargin and protocol.WatchWait. If
// protocol.WatchResponseMargin applied to the whole response, a list of thousands of endpoints that arrives
// slowly would never be accepted.
func (d *DiscoveryClient) pollList(ctx context.Context) (*protocol.EndpointList, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(protocol.WatchResponseMargin, func() { cancel(errDiscoveryTimeout) })
	defer timer.Stop()
	deadline := time.Now().Add(max(protocol.WatchResponseMargin, protocol.WatchWait))
	onProgress := func() { timer.Reset(min(protocol.WatchResponseMargin, time.Until(deadline))) }
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
	timer := time.AfterFunc(wait+protocol.WatchResponseMargin, func() { cancel(errDiscoveryTimeout) })
	defer timer.Stop()
	target := fmt.Sprintf("%s?since=%d&timeout_ms=%d", d.target(), since, wait.Milliseconds())
	return d.get(ctx, target, func() {})
}

func (d *DiscoveryClient) target() string { return "http://" + d.address + "/api/targets" }

// get sends a poll and decodes its response. It calls onProgress after each read of a part of the body.
func (d *DiscoveryClient) get(
	ctx context.Context,
	target string,
	onProgress func(),
) (*protocol.EndpointList, error) {
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
		return nil, fmt.Errorf("discovery responded %s: %w", response.Status, protocol.ErrNoEndpointList)
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

// progressReader calls onProgress after each read that returned data.
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
