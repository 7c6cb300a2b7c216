// SPDX-License-Identifier: Apache-2.0

package testcluster

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// ports that the kernel gives to no outgoing connection, which would take one between its choice and its use.
const firstTestPort, lastTestPort = 14000, 32000

var portAllocator = struct {
	sync.Mutex
	port int
}{port: firstTestPort + os.Getpid()*37%(lastTestPort-firstTestPort)}

// unusedAddress is an address that nobody listens at, and that is given once.
func (r *Cluster) unusedAddress() string {
	portAllocator.Lock()
	defer portAllocator.Unlock()
	for range lastTestPort - firstTestPort {
		if portAllocator.port++; portAllocator.port >= lastTestPort {
			portAllocator.port = firstTestPort
		}
		address := fmt.Sprint("127.0.0.1:", portAllocator.port)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	r.Fatal("no port is free")
	return ""
}
