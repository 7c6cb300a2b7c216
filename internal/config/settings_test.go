// SPDX-License-Identifier: Apache-2.0

package config

import (
	"strings"
	"testing"
	"time"

	"fernrail/internal/protocol"
)

// TestDialWithinDrainGrace checks that the dial timeout and the time in which attempts may start together fit
// into the drain grace. A connection that is established after the grace is too late for its attempt.
func TestDialWithinDrainGrace(t *testing.T) {
	node := mustParse(t, strings.Replace(completeFile, `"Odd":true`, `"Rules":{"DrainGrace":100000000}`, 1))
	if node.DialTimeout > 50*time.Millisecond {
		t.Errorf("dial timeout: got %v, want at most 50ms, half the drain grace", node.DialTimeout)
	}
	// A change counts as known as soon as the discovery agent has it, without a poll.
	checkEqual(t, "age of unpolled events", node.Settings.UnpolledEventAge, 0)
	checkEqual(t, "poll interval", node.Settings.MaxPollInterval, int64(protocol.PollRetryInterval))
	if node.Settings.DrainGrace+int64(node.DialTimeout) > 100e6 {
		t.Errorf("got %d ns to start attempts and a dial timeout of %v, want at most 100 ms together",
			node.Settings.DrainGrace, node.DialTimeout)
	}
}

// TestSubscribingSite checks that the dispatcher gets the settings for polls and probes, and that peer
// messages stay off because there is no protocol for them on sockets. Without these keys, all of them are
// off.
func TestSubscribingSite(t *testing.T) {
	node := mustParse(t, strings.NewReplacer(
		`"Odd":true`, `"Discovery":"subscribe","Weights":"live","Report":{"Source":"pull","Fields":["util","x0","x1"]}`,
		`"MayCancel":true`, `"MayCancel":true,"MayProbe":true,"MayTell":true`,
		`"ReportX0":"free memory","ReportX1":"free slots"`,
		`"MemoryUnit":"one a slot","ReportX0":"free slots","ReportX1":"free memory"`,
		`"sockets":1024`, `"sockets":1024,"probe_ms":80`,
	).Replace(completeFile))
	checkEqual(t, "polling", node.Settings.PollForChanges, true)
	checkEqual(t, "live capacity", node.Settings.LiveCapacity, true)
	checkEqual(t, "capacity probes", node.Settings.CapacityProbes, true)
	checkEqual(t, "load reports", node.Settings.LoadReports, false)
	checkEqual(t, "peer messages", node.Settings.PeerMessages, false)
	checkEqual(t, "hedging allowed", node.Settings.AllowHedging, false)
	checkEqual(t, "peer messages without a protocol", node.PeerMessagesUnsupported, true)
	checkEqual(t, "key of free slots", node.LoadReportKeys.FreeSlots, "x0")
	checkEqual(t, "key of free memory", node.LoadReportKeys.FreeMemory, "x1")
	checkEqual(t, "probe timeout", node.ProbeTimeout, 80*time.Millisecond)

	node = mustParse(t, completeFile)
	checkEqual(t, "live capacity", node.Settings.LiveCapacity, false)
	checkEqual(t, "capacity probes", node.Settings.CapacityProbes, false)
	checkEqual(t, "peer messages", node.Settings.PeerMessages, false)
	checkEqual(t, "peer messages without a protocol", node.PeerMessagesUnsupported, false)
	checkEqual(t, "polling", node.Settings.PollForChanges, false)
}

// TestClockErrors checks that the dispatcher gets the clock error bounds of the settings, and that they
// default to 0.
func TestClockErrors(t *testing.T) {
	check := func(text string, deadlineMargin, startTimeError int64) {
		t.Helper()
		settings := mustParse(t, text).Settings
		checkEqual(t, "deadline margin", settings.DeadlineMargin, deadlineMargin)
		checkEqual(t, "start time error", settings.StartTimeError, startTimeError)
		checkEqual(t, "deadline", settings.Classes[0].MaxDeadline, 5e9)
	}
	check(completeFile, 0, 0)
	rules := `"Rules":{"LeftMargin":7500000000,"BootStampError":40}`
	check(strings.Replace(completeFile, `"Odd":true`, rules, 1), 7500e6, 40)

	for _, key := range []string{"LeftMargin", "BootStampError"} {
		text := strings.Replace(completeFile, `"Odd":true`, `"Rules":{"`+key+`":-1}`, 1)
		_, err := parse([]byte(text), noEnvironment)
		checkKeyError(t, key, err, "settings.Rules."+key+": ")
	}
}
