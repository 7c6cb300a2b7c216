// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"time"
)

// The platform treats a node as notified of a change of the endpoint list at the latest
// NotificationDeadline after discovery has the change and is reachable, regardless of earlier failures.
// A poll that is in flight when discovery becomes reachable may still fail. The other intervals are
// derived from the deadline so that the response to the next poll arrives in time.
const (
	// NotificationDeadline is defined by the documentation of the platform.
	NotificationDeadline = 6 * time.Second
	// WatchWait is how long discovery may wait for a change before it responds to a poll.
	WatchWait = NotificationDeadline / 2
	// WatchResponseMargin is how long the node waits for the response to a poll beyond WatchWait.
	WatchResponseMargin = NotificationDeadline / 6
	// PollRetryInterval is the time from the start of a failed poll to the start of the next one. The
	// rest of the deadline is for the response to the next poll.
	PollRetryInterval = NotificationDeadline - 2*WatchResponseMargin/4
)
