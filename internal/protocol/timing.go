// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"time"
)

// A change of the list counts as told a while after discovery had it and could be reached, whatever failed before. Whoever asks may
// have a call out at that moment which comes to nothing; all that may pass until the next one's answer is derived here.
const (
	NotificationDeadline = 6 * time.Second                         // the while, by the platform's pages
	WatchWait            = NotificationDeadline / 2                // a watch lets discovery wait for news
	WatchSilence         = NotificationDeadline / 6                // how much longer an answer is waited for
	PollRetryInterval    = NotificationDeadline - 2*WatchSilence/4 // from a failed call's start to the next one; the rest is for its answer
)
