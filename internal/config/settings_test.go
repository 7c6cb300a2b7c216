// SPDX-License-Identifier: Apache-2.0

package config

import (
	"fernrail/internal/protocol"
	"strings"
	"testing"
	"time"
)

// TestDialWithinDrainGrace: a connection that comes up when the grace of a drain is over is too late for its attempt,
// so that the dial and the time to start an attempt fit into the grace together.
func TestDialWithinDrainGrace(t *testing.T) {
	node := mustParse(t, strings.Replace(wholeFile, `"Odd":true`, `"Rules":{"DrainGrace":100000000}`, 1))
	if node.DialTimeout > 50*time.Millisecond {
		t.Errorf("%v for a connection", node.DialTimeout)
	}
	// What the discovery agent has counts as known without a poll.
	checkEqual(t, "age of unpolled events", node.Settings.UnpolledEventAge, 0)
	checkEqual(t, "poll interval", node.Settings.MaxPollInterval, int64(protocol.PollRetryInterval))
	if node.Settings.DrainGrace+int64(node.DialTimeout) > 100e6 {
		t.Errorf("%d ns to start an attempt, and %v to connect", node.Settings.DrainGrace, node.DialTimeout)
	}
}

// TestSubscribingSite: settings of sites whose nodes poll and probe reach the dispatcher; peer messages, for which
// sockets have no protocol, do not. Without these keys all of it is off.
func TestSubscribingSite(t *testing.T) {
	node := mustParse(t, strings.NewReplacer(
		`"Odd":true`, `"Discovery":"subscribe","Weights":"live","Report":{"Source":"pull","Fields":["util","x0","x1"]}`,
		`"MayCancel":true`, `"MayCancel":true,"MayProbe":true,"MayTell":true`,
		`"ReportX0":"free memory","ReportX1":"free slots"`,
		`"MemoryUnit":"one a slot","ReportX0":"free slots","ReportX1":"free memory"`,
		`"sockets":1024`, `"sockets":1024,"probe_ms":80`,
	).Replace(wholeFile))
	checkEqual(t, "polling", node.Settings.PollForChanges, true)
	checkEqual(t, "live capacity", node.Settings.LiveCapacity, true)
	checkEqual(t, "capacity probes", node.Settings.CapacityProbes, true)
	checkEqual(t, "load reports", node.Settings.LoadReports, false)
	checkEqual(t, "peer messages", node.Settings.PeerMessages, false)
	checkEqual(t, "hedging", node.Settings.AllowHedging, false)
	checkEqual(t, "peer messages without a protocol", node.PeerMessagesUnsupported, true)
	checkEqual(t, "key of free slots", node.LoadReportKeys.FreeSlots, "x0")
	checkEqual(t, "key of free memory", node.LoadReportKeys.FreeMemory, "x1")
	checkEqual(t, "probe timeout", node.ProbeTimeout, 80*time.Millisecond)

	node = mustParse(t, wholeFile)
	checkEqual(t, "live capacity", node.Settings.LiveCapacity, false)
	checkEqual(t, "capacity probes", node.Settings.CapacityProbes, false)
	checkEqual(t, "peer messages", node.Settings.PeerMessages, false)
	checkEqual(t, "peer messages without a protocol", node.PeerMessagesUnsupported, false)
	checkEqual(t, "polling", node.Settings.PollForChanges, false)
}

// TestClockErrors: by how much clocks may differ reaches the dispatcher, and is nothing where the settings say
// nothing.
func TestClockErrors(t *testing.T) {
	check := func(text string, deadlineMargin, startTimeError int64) {
		t.Helper()
		settings := mustParse(t, text).Settings
		checkEqual(t, "deadline margin", settings.DeadlineMargin, deadlineMargin)
		checkEqual(t, "start time error", settings.StartTimeError, startTimeError)
		checkEqual(t, "deadline", settings.Classes[0].MaxDeadline, 5e9)
	}
	check(wholeFile, 0, 0)
	rules := `"Rules":{"LeftMargin":7500000000,"BootStampError":40}`
	check(strings.Replace(wholeFile, `"Odd":true`, rules, 1), 7500e6, 40)

	for _, key := range []string{"LeftMargin", "BootStampError"} {
		text := strings.Replace(wholeFile, `"Odd":true`, `"Rules":{"`+key+`":-1}`, 1)
		_, err := parse([]byte(text), noEnvironment)
		checkKeyError(t, key, err, "settings.Rules."+key+": ")
	}
}
