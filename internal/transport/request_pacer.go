// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"fernrail/internal/protocol"
)

const (
	// pacerRate is the number of tokens that a connection gets, per second.
	pacerRate = 200
	// pacerBurst is the number of tokens that a connection can save up.
	pacerBurst = 100
	// pacerFirstTokens is the number of tokens of a new connection. It is small because a client gets it again with
	// each new connection.
	pacerFirstTokens = 2
)

// The costs of requests, in tokens. A request that a server has answered costs the client the time of the job, too.
const (
	servedCost    = 1
	readinessCost = 3
	refusedCost   = 4
	unsoundCost   = 20
)

// requestPacer limits the rate of the requests on one connection, so that a client that sends as fast as it can does
// not take the processor from others. Requests that were no use to the client cost more, and their responses wait
// until they are paid for.
type requestPacer struct {
	limiter *rate.Limiter
}

func newRequestPacer() requestPacer {
	p := requestPacer{limiter: rate.NewLimiter(pacerRate, pacerBurst)}
	p.limiter.AllowN(time.Now(), pacerBurst-pacerFirstTokens)
	return p
}

// charge takes tokens and returns how long it takes until they are paid for.
func (p requestPacer) charge(cost int) time.Duration {
	now := time.Now()
	return p.limiter.ReserveN(now, cost).DelayFrom(now)
}

// debt returns how long it takes until the tokens that were taken before are paid for.
func (p requestPacer) debt() time.Duration {
	missing := max(-p.limiter.Tokens(), 0)
	return time.Duration(missing / pacerRate * float64(time.Second))
}

// chargeResponse takes the tokens for a request with the given status of its response, and returns how long the
// response has to wait. A served request delays only the next one.
func (p requestPacer) chargeResponse(status int) time.Duration {
	if status == http.StatusOK {
		p.charge(servedCost)
		return 0
	}
	return p.charge(refusedCost)
}

// payForFault delays the response to a request that could not be decoded, or for which no memory was left.
func (c *clientConn) payForFault(fault *protocol.RequestError) {
	if fault.Status == http.StatusServiceUnavailable {
		time.Sleep(c.pacer.charge(refusedCost))
		return
	}
	c.payForUnsound()
}

// payForUnsound delays the response to a request that was not accepted.
func (c *clientConn) payForUnsound() {
	c.budget.markUnsound(c)
	time.Sleep(c.pacer.charge(unsoundCost))
}
