// SPDX-License-Identifier: Apache-2.0

package dispatch

const (
	scoreWindow           = 50   // scores; the design's pool
	topScore              = 10.0 // points; the design's first place, also what a mean score is divided by
	initialScore          = 0.5  // share of the top score for a kind without scores; the design's start
	typeScoreWeight       = 3.0  // scores that the mean of its kind counts for beside an executor's own; a few outweigh it
	failureFactor         = 0.3  // factor on H for a time-out, failed connection or error; the design's
	successBonus          = 0.15 // added to H by a success; the design's
	minReliability        = 0.1  // H under which an executor is left out; the design's
	crowdedMargin         = 1.0  // jobs over its fair part that make an executor crowded; the least that is not noise
	limitGrowth           = 0.25 // slots for a prompt start, less under a limit of one; with cut, one in three may wait
	initialLimit          = 4.0  // slots in flight allowed before anything is known; a small machine's worth
	limitReduction        = 0.5  // share of the in-flight limit kept when a posting was seen to wait; the usual halving
	overdueFactor         = 4.0  // times the high end of measured running time that make a job overdue; beyond long jobs
	highQuantile          = 0.9  // quantile taken as high end; the histograms are too small to know more
	lowQuantile           = 0.25 // quantile taken as low end, by which it is too late for a txn; a fast machine's
	missedProgressPeriods = 1.5  // progress periods without a note that mean standing still; one late note is no proof
	slowStartMargin       = 1.5  // times that nodes of other minds sent what each reckoned with, the most of 800 histories
	minChance             = 0.5  // part of the billing value to be expected for a txn to wait on; an even chance
	minRetrySuccess       = 0.1  // chance to be served elsewhere under which two errors end a txn; a third is not worth it
	delayedByHedge        = 3.0  // jobs made late by one more job where there is no room; a short queue of them
	overQuotaFactor       = 1.3  // times the others' measure that a tenant may send; usage differs by tens of percent
	turnsPerWindow        = 4    // parts of a fall window in which nodes take turns at the cold; a fifth is lost
	crowdedFactor         = 1.2  // times the mean load by the list from which a home gives way; word is a second old
	localZoneCost         = 0.02 // price of a crossing from which home goes first; under it a late answer costs more
	requiredTypeFactor    = 0.5  // factor on executors of a kind that other schemes need, which can go nowhere else
	spareServerShare      = 0.25 // share of late starts up to which a thing has a second home; one in a jam, or all fetch
	probesPerRound        = 4    // executors asked for room at a time; with one in two full, one in sixteen finds none
	deadlineSamples       = 16   // latest txns of which one at least counts as a client's first try; some try three times
	responseFraction      = 64   // part of an expiry that is left for the way to the client; ours must come before it goes
	ownResultLifetime     = 1e9  // ns; for so long an own job that ended well beats what others say; news takes about that
	maxReportLifetime     = 1e8  // ns, at most; that word of room counts, and until others are asked; some reports a second
	preferenceStep        = 1e9  // between the waits of two steps of preference, more than any draw gives
	maxKeyedRequests      = 256  // txns after which counts by key are halved; tells a tenth of all from a hundredth
)
