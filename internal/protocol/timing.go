// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"time"
)

// A node counts as notified of a change of the endpoint list within NotificationDeadline after
// discovery had the change and could be reached, whatever failed before. At that moment a poll may
// be out that will bring nothing. All that may pass until the next one's response is derived here.
const (
	// NotificationDeadline is set by the platform's pages.
	NotificationDeadline = 6 * time.Second
	// WatchWait is how long a poll lets discovery wait for a change.
	WatchWait = NotificationDeadline / 2
	// WatchSilence is how much longer the response to a poll is waited for.
	WatchSilence = NotificationDeadline / 6
	// PollRetryInterval is from the start of a failed poll to that of the next; the rest of the
	// deadline is for its response.
	PollRetryInterval = NotificationDeadline - 2*WatchSilence/4
)
