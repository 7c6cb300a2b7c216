// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	crowdedMargin       = 1.0  // jobs over its fair part that make an executor crowded; the least that is not noise
	slowStartMargin     = 1.5  // times that nodes of other minds sent what each reckoned with, the most of 800 histories
	overQuotaFactor     = 1.3  // times the others' measure that a tenant may send; usage differs by tens of percent
	turnsPerWindow      = 4    // parts of a fall window in which nodes take turns at the cold; a fifth is lost
	crowdedFactor       = 1.2  // times the mean load by the list from which a home gives way; word is a second old
	localZoneCost       = 0.02 // price of a crossing from which home goes first; under it a late answer costs more
	requiredTypeFactor  = 0.5  // factor on executors of a kind that other schemes need, which can go nowhere else
	spareServerShare    = 0.25 // share of late starts up to which a thing has a second home; one in a jam, or all fetch
	probesPerRound      = 4    // executors asked for room at a time; with one in two full, one in sixteen finds none
	maxUnansweredRounds = 4    // rounds of probes after which a request is sent blindly if no server has reported since it came
	deadlineSamples     = 16   // latest txns of which one at least counts as a client's first try; some try three times
	responseFraction    = 64   // part of an expiry that is left for the way to the client; ours must come before it goes
	maxReportLifetime   = 1e8  // ns, at most; that word of room counts, and until others are asked; some reports a second
	preferenceStep      = 1e9  // between the waits of two steps of preference, more than any draw gives
	maxKeyedRequests    = 256  // txns after which counts by key are halved; tells a tenth of all from a hundredth
)
