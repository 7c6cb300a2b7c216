// SPDX-License-Identifier: Apache-2.0

package protocol

// Names on the wire. JSON keys are in the tags of the structs that decode them.
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

// Names lists the configured names that occur on the wire. The index of a name is its index in the
// settings of the decision module.
type Names struct {
	Zones, MachineTypes, Classes, Tenants []string
}
