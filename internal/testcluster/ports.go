// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Test ports are from firstTestPort up to lastTestPort. The kernel assigns no port of this range to an
// outgoing connection, which could otherwise occupy a port between its choice and its use.
const (
	firstTestPort = 14000
	lastTestPort  = 32000
	// portStride separates the first ports of test processes that run at the same time.
	portStride = 37
)

// portAllocator stores the port that this process allocated last.
var portAllocator = struct {
	sync.Mutex
	port int
}{port: firstTestPort + os.Getpid()*portStride%(lastTestPort-firstTestPort)}

// anyAddress returns a loopback address for which the kernel chooses the port.
func anyAddress() string { return "127.0.0.1:0" }

// unusedAddress returns a loopback address at which no process listens. No address is returned a second time
// until the range is used up.
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
	c.Fatal("no free port in the range of test ports")
	return ""
}
