// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Ports from firstTestPort up to lastTestPort are given by the kernel to no outgoing connection, which could take one
// between its choice and its use.
const (
	firstTestPort = 14000
	lastTestPort  = 32000
	// portStride spreads where test processes that run at the same time begin.
	portStride = 37
)

// portAllocator holds the port that was given last in this process.
var portAllocator = struct {
	sync.Mutex
	port int
}{port: firstTestPort + os.Getpid()*portStride%(lastTestPort-firstTestPort)}

// anyAddress leaves the choice of a port to the kernel.
func anyAddress() string { return "127.0.0.1:0" }

// unusedAddress returns an address that nobody listens at, and that is given once.
func (c *Cluster) unusedAddress() string {
	c.Helper()
	portAllocator.Lock()
	defer portAllocator.Unlock()
	for range lastTestPort - firstTestPort {
		portAllocator.port++
		if portAllocator.port >= lastTestPort {
			portAllocator.port = firstTestPort
		}
		address := fmt.Sprint("127.0.0.1:", portAllocator.port)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	c.Fatal("no port is free")
	return ""
}
