// SPDX-License-Identifier: Apache-2.0

package protocol

// Names on the wire, with what the code calls them. The JSON keys stand as tags of the structs that
// decode them.
const (
	headerRequestID    = "X-Call-Id"
	headerClass        = "X-Call-Class"
	headerTenant       = "X-Caller"
	headerTimeout      = "X-Budget-Ms" // whole milliseconds
	headerRequestInfo  = "X-Call-Info" // name=value pairs, separated by commas
	headerExpectedWork = "X-Call-Cost" // microseconds of work
	headerRejected     = "X-Rejected"  // "1": the job was not run
	headerRetryAfter   = "Retry-After" // seconds, with decimals

	infoSlots  = "slots"
	infoMemory = "mem"

	queryAffinityKey = "obj"
)

// Names lists the names that the wire uses. A name's index is that of the decision module's settings.
type Names struct {
	Zones, MachineTypes, Classes, Tenants []string
}
