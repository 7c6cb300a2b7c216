// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// admissionGrace is how long an admitted connection is open at least. Many nodes connect at once after a mass restart.
const admissionGrace = 250 * time.Millisecond

// connectionLimit bounds the connections of peers that have not proved that they belong to the fleet. A further one
// ends the oldest: a peer that stalls must not keep others out.
type connectionLimit struct {
	most int

	mu   sync.Mutex
	open list.List // of *admittedConn, oldest first
}

// admittedConn is a connection that counts toward a limit.
type admittedConn struct {
	conn       net.Conn
	admittedAt time.Time
	element    *list.Element // in limit.open; nil: it does not count any more
}

// admit adds a connection. If there are too many, it closes the oldest ones once they have had admissionGrace.
func (l *connectionLimit) admit(conn net.Conn) *admittedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open.Len() >= l.most {
		oldest := l.open.Front().Value.(*admittedConn)
		if age := time.Since(oldest.admittedAt); age < admissionGrace {
			l.mu.Unlock()
			time.Sleep(admissionGrace - age)
			l.mu.Lock()
			continue
		}
		l.removeLocked(oldest)
		_ = oldest.conn.Close() // its reader detects the end even if closing fails
	}
	admitted := &admittedConn{conn: conn, admittedAt: time.Now()}
	admitted.element = l.open.PushBack(admitted)
	return admitted
}

// remove removes a connection that has closed or is trusted from now on.
func (l *connectionLimit) remove(admitted *admittedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(admitted)
}

// removeLocked is remove for callers that hold mu.
func (l *connectionLimit) removeLocked(admitted *admittedConn) {
	if admitted.element != nil {
		l.open.Remove(admitted.element)
		admitted.element = nil
	}
}
