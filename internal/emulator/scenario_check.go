// SPDX-License-Identifier: Apache-2.0

package emulator

import (
	"cmp"
	"fmt"
	"slices"
)

// KeyError is an invalid key of a scenario, with the reason.
type KeyError struct {
	Key    string
	Reason string
}

// Error returns the key and the reason.
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// checker records the first invalid key of a scenario.
type checker struct{ err error }

// want records a key as invalid unless a condition holds.
func (c *checker) want(ok bool, key, format string, args ...any) {
	if !ok && c.err == nil {
		c.err = &KeyError{Key: key, Reason: fmt.Sprintf(format, args...)}
	}
}

func (c *checker) share(key string, value float64) {
	c.want(value >= 0 && value <= 1, key, "%v is not between 0 and 1", value)
}

func (c *checker) above(key string, value float64) { c.want(value > 0, key, "missing, or not above 0") }

// faultKinds are the kinds of faults. Their order is fixed, since tests draw from them by index.
var faultKinds = []string{
	"crash", "hang", "slow", "errors", "flap", "deploy", "cut", "loss", "restart-nodes", "no-discovery",
	"burst", "spoilt", "no-granter",
}

// Check returns the first invalid key, as a KeyError if it is not in the leases or subset section.
func (s *Scenario) Check() error {
	c := &checker{}
	s.checkFleet(c)
	s.checkTimes(c)
	s.checkKinds(c)
	s.checkSchemes(c)
	s.checkFaults(c)
	if c.err != nil {
		return c.err
	}
	return cmp.Or(s.Leases.check(s.Fleet.Nodes, s.Rules.OverloadWindow), s.Subset.check(s.Fleet.Servers))
}

func (s *Scenario) checkFleet(c *checker) {
	c.above("length", float64(s.Length))
	c.want(s.WarmUp >= 0 && s.WarmUp < s.Length, "warm", "not within the length")
	c.above("fleet.nodes", float64(s.Fleet.Nodes))
	c.above("fleet.executors", float64(s.Fleet.Servers))
	c.above("fleet.tick", float64(s.Fleet.Tick))
	c.want(s.Fleet.DecisionTime >= 0, "fleet.decision", "below 0")
	c.want(len(s.Fleet.Zones) > 0, "fleet.zones", "empty")
	c.above("clients.rate", s.Clients.Rate)
	c.want(s.Clients.Retries >= 0, "clients.retries", "below 0")
	c.want(s.Clients.AffinityKeys >= 0, "clients.keys", "below 0")
	c.above("clients.backoff", float64(s.Clients.Backoff))
	c.share("clients.follow", s.Clients.RetryAfterShare)
	c.share("clients.skew", s.Clients.ZoneSkew)
	c.share("network.loss", s.Network.Loss)
	c.share("discovery.loss", s.Discovery.Loss)
	c.share("rules.cold_share", s.Rules.SlowStartShare)
	c.above("rules.postings", float64(s.Rules.MaxAttempts))
}

// checkTimes rejects negative durations.
func (s *Scenario) checkTimes(c *checker) {
	for _, time := range []struct {
		key   string
		value Duration
	}{
		{"network.same", s.Network.SameZoneDelay},
		{"network.cross", s.Network.CrossZoneDelay},
		{"network.dial", s.Network.DialTimeout},
		{"network.idle", s.Network.IdleTimeout},
		{"discovery.notice", s.Discovery.NoticeDelay},
		{"discovery.spread", s.Discovery.NotifyDelay},
		{"rules.slack", s.Rules.Slack},
		{"rules.grace", s.Rules.DrainGrace},
		{"rules.cold", s.Rules.SlowStart},
		{"rules.fall", s.Rules.OverloadWindow},
		{"rules.progress", s.Rules.ProgressInterval},
		{"rules.return", s.Rules.MaxRetryAfter},
	} {
		c.want(time.value >= 0, time.key, "below 0")
	}
}

func (s *Scenario) checkKinds(c *checker) {
	c.want(len(s.MachineTypes) > 0, "kind", "none")
	for i, machineType := range s.MachineTypes {
		at := fmt.Sprintf("kind %d: ", i+1)
		c.share(at+"share", machineType.Share)
		c.above(at+"slots", float64(machineType.Slots))
		c.above(at+"cores", machineType.Cores)
		c.above(at+"speed", machineType.Speed)
		c.want(machineType.SpeedSpread >= 0 && machineType.SpeedSpread < 1,
			at+"spread", "not at least 0 and below 1")
		c.want(machineType.QueueLimit >= 0 && machineType.HandshakeWork >= 0, at+"queue, handshake",
			"below 0")
		c.above(at+"connections", float64(machineType.MaxConnections))
		c.want(slices.Contains([]string{"none", "queued", "all"}, machineType.Cancel), at+"cancel",
			"%q is not one of none, queued, all", machineType.Cancel)
	}
}

func (s *Scenario) checkSchemes(c *checker) {
	c.want(len(s.Classes) > 0, "scheme", "none")
	for i, class := range s.Classes {
		at := fmt.Sprintf("scheme %d: ", i+1)
		c.want(class.Name != "", at+"name", "missing")
		c.share(at+"share", class.Share)
		c.above(at+"run", float64(class.MeanRuntime))
		c.above(at+"slots", float64(class.Slots))
		c.above(at+"sla", float64(class.LatencyObjective))
		c.above(at+"expiry", float64(class.Deadline))
		c.above(at+"value", class.Weight)
		c.share(at+"late", class.LateShare)
		c.want(slices.Contains([]string{"exponential", "fixed"}, class.Distribution), at+"shape",
			"%q is not exponential or fixed",
			class.Distribution)
		c.want(idempotencyOf(class.Idempotency) >= 0, at+"effect",
			"%q is not one of repeatable, referenced, once-only",
			class.Idempotency)
	}
}

func (s *Scenario) checkFaults(c *checker) {
	for i, f := range s.Faults {
		at := fmt.Sprintf("fault %d: ", i+1)
		c.want(slices.Contains(faultKinds, f.Kind), at+"kind", "%q is not one of %v", f.Kind, faultKinds)
		c.want(f.At >= 0 && f.At < s.Length, at+"at", "not within the length")
		c.above(at+"for", float64(f.For))
		c.share(at+"part", f.Part)
		c.want(f.Zone == "" || slices.Contains(s.Fleet.Zones, f.Zone),
			at+"zone", "%q is not one of fleet.zones", f.Zone)
		c.want(f.Strength >= 0, at+"strength", "below 0")
		c.want(f.Kind != "slow" && f.Kind != "burst" || f.Strength > 0, at+"strength", "missing")
		c.want(f.Kind != "flap" || f.Interval > 0, at+"again", "missing")
		c.want(f.Class == "" || s.hasClass(f.Class), at+"scheme", "%q is not the name of a scheme", f.Class)
		c.want(f.Tenant == "" || s.hasTenant(f.Tenant), at+"tenant", "%q is not the name of a tenant",
			f.Tenant)
	}
}

func (s *Scenario) hasClass(name string) bool {
	return slices.ContainsFunc(s.Classes, func(class Class) bool { return class.Name == name })
}

func (s *Scenario) hasTenant(name string) bool {
	return slices.ContainsFunc(s.Tenants, func(tenant Tenant) bool { return tenant.Name == name })
}
