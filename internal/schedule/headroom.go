package schedule

// slotHeadroom is how many slots of an engine the concurrency limit leaves free, on average over
// the ranks of a group. Hosts admit by load reports that are up to 150 ms old and so place
// requests unevenly. With a limit of all slots, a rank that gets one request more than the others
// keeps it in its own queue, where its first event becomes late.
const slotHeadroom = 1

// withHeadroom returns the concurrency limit of a group, given the one that its pass times allow.
// Only where quotas always apply is a slot left free: without quotas, the queue of an engine
// avoids idle time between two requests.
func (sv *service) withHeadroom(limit float64) float64 {
	if !sv.hasHeadroom || sv.limit >= sv.engineSpec.Slots {
		return limit
	}
	return min(limit, float64(sv.engineSpec.Slots-slotHeadroom))
}
