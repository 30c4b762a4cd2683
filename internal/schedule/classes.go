package schedule

import (
	"slices"
	"time"
)

const (
	// urgentReserve is how long the free slots must last for the requests on time that are
	// expected of more urgent classes before a request of a less urgent class may take one. It
	// covers the wait for the load reports that show the next free slots.
	urgentReserve = 150 * time.Millisecond
	// urgentHeadroom is by how many requests an urgent one may exceed the concurrency limit of an
	// engine that has slots beyond it. A slot that becomes free is known to other hosts only after
	// a load report, for which urgent requests would have to wait.
	urgentHeadroom = 1
	// guaranteedFraction is the fraction of the slots in proportion to its demand that a class
	// keeps, however much the more urgent ones ask for. No class starves: each must be served at
	// least a quarter as often as all requests, and a third leaves a margin for the differences
	// between hosts.
	guaranteedFraction = 1.0 / 3
	// waitMargin is the factor by which the wait of a request may exceed its estimate for the
	// request still to be queued. Slots become free at irregular intervals, and a request that is
	// refused after it has waited is worse for its caller than one that is refused at once.
	waitMargin = 2
	// preferredRate is how many times this host's share of the slots a preferred class gets.
	preferredRate = 4
	// classValueRatio is the value of serving a request relative to one of the next more urgent
	// class. The configuration does not state values; with one half, a few urgent requests on time
	// outweigh as many of all less urgent classes together.
	classValueRatio = 0.5
	// spareValue is the value of capacity beyond the present demand, relative to the least urgent
	// class. It only prefers the higher one of two limits that serve all requests equally well.
	spareValue = 0.05
	// classMemory is how long a class without requests counts as one of the service. Without it, one
	// request of another priority would leave a service with several classes for good.
	classMemory = time.Minute
	// maxClasses is the largest number of classes of a service. Priorities come from the
	// configuration; requests of a further one belong to the next less urgent class, or to the least
	// urgent one.
	maxClasses = 16
)

// class is a priority class of a service: the requests with the same priority. A service whose
// requests all have the same priority has one class, and nothing in this file affects it.
type class struct {
	// priority is the priority of the requests; 0 is the most urgent.
	priority int
	// arrivals counts all arriving requests, onTimeArrivals those that could still be on time, and
	// admissions those that got a slot.
	arrivals, onTimeArrivals, admissions eventRate
	// lastArrival is when the last request arrived.
	lastArrival time.Duration
	// inflight is the number of this host's attempts in flight, and inflightBy that of each
	// workspace that has any.
	inflight   int
	inflightBy map[string]int
	// The fields below are set by updateClasses. isGuaranteed is set while the class has less than
	// its guaranteed share of the slots. mayAdmitOnTime and mayAdmitLate tell whether requests of
	// the class that can be on time, or no longer can, may take a free slot.
	isGuaranteed, mayAdmitOnTime, mayAdmitLate bool
	// isPreferred is set while there are enough slots for the requests on time of this class and the
	// more urgent ones, and there is a less urgent class. Its requests don't wait for this host's
	// quota and may exceed the concurrency limit by urgentHeadroom. Less urgent requests make up for
	// it, since they are admitted only below the limit.
	isPreferred bool
}

// class returns the class of requests with a priority, which is created if it is new. Classes
// are ordered from the most to the least urgent.
func (sv *service) class(priority int) *class {
	i, ok := slices.BinarySearchFunc(sv.classes, priority, func(c *class, p int) int { return c.priority - p })
	if ok {
		return sv.classes[i]
	}
	if len(sv.classes) == maxClasses {
		return sv.classes[min(i, maxClasses-1)]
	}
	c := &class{priority: priority, inflightBy: make(map[string]int)}
	sv.classes = slices.Insert(sv.classes, i, c)
	return c
}

// onTimeArrivalRate returns how many requests per second arrive that can be on time, of the
// given class and the more urgent ones.
func (sv *service) onTimeArrivalRate(least *class, now time.Duration) float64 {
	if len(sv.classes) <= 1 {
		return sv.demand.onTimeArrivals.perSecond(now)
	}
	return sv.urgentArrivalRate(least, now) + least.onTimeArrivals.perSecond(now)
}

// urgentArrivalRate returns how many requests per second arrive that can be on time, of the
// classes that are more urgent than the given one.
func (sv *service) urgentArrivalRate(than *class, now time.Duration) float64 {
	rate := 0.0
	for _, c := range sv.classes {
		if c == than {
			break
		}
		rate += c.onTimeArrivals.perSecond(now)
	}
	return rate
}

// updateClasses decides for each class which of its requests may take a free slot. A request of a
// less urgent class may do so if enough slots are free for the requests that are expected of more
// urgent classes, or if its class has less than its guaranteed share.
func (s *Scheduler) updateClasses(sv *service, now time.Duration) {
	sv.classes = slices.DeleteFunc(sv.classes, func(c *class) bool { return c.inflight == 0 && now-c.lastArrival > classMemory })
	share := s.slotShare(sv, now)
	for i, c := range sv.classes {
		c.isGuaranteed = len(sv.classes) > 1 && float64(c.inflight) < sv.guaranteedSlots(c, share, now)
		needed := sv.demand.slotsNeeded(sv.onTimeArrivalRate(c, now), sv.expectedServiceTime())
		c.isPreferred = i < len(sv.classes)-1 && needed < share.total
		c.mayAdmitOnTime = i == 0 || c.isGuaranteed || share.free > sv.urgentArrivalRate(c, now)*urgentReserve.Seconds()
		c.mayAdmitLate = c.isGuaranteed || c.mayAdmitOnTime && sv.lateCapacity(c, share, now) > 0
	}
}

// mayAdmit reports whether a request may take a free slot. Where all upstreams have rate limits or
// rest, the tokens bound what is admitted instead, and one that is not used is lost. Classes don't
// hold back a resumed request, since the engines have done part of its answer already.
func (s *Scheduler) mayAdmit(sv *service, w *Waiter, now time.Duration) bool {
	return w.class.mayAdmitLate || w.canBeOnTime(now) && (w.class.mayAdmitOnTime || w.isResumed) || s.isWhollyRestricted(sv, w, now)
}

// guaranteedSlots returns how many of this host's slots a class keeps if all classes together
// ask for more than there are.
func (sv *service) guaranteedSlots(c *class, share slotShare, now time.Duration) float64 {
	total := 0.0
	for _, o := range sv.classes {
		total += o.arrivals.perSecond(now)
	}
	if total == 0 {
		return 0
	}
	own := c.arrivals.perSecond(now)
	// The slots that all requests of the class would occupy, or its part of those that there are.
	slots := min(own*sv.meanServiceTime().Seconds(), own/total*share.total)
	return guaranteedFraction * slots
}

// classRate estimates how many requests of a class per second get a slot at this host while
// requests are queued: those that did lately, or what more urgent requests leave of this host's
// share of the slots, or the guaranteed share, whichever is most.
func (sv *service) classRate(c *class, share slotShare, now time.Duration) float64 {
	turnover := 1 / sv.meanServiceTime().Seconds()
	if c.isPreferred {
		// Less urgent requests leave it any slot that becomes free, also those that other hosts use.
		return max(share.total, 1) * turnover * waitMargin * preferredRate
	}
	left := share.total*turnover - sv.urgentArrivalRate(c, now)
	return max(left, c.admissions.perSecond(now), sv.guaranteedSlots(c, share, now)*turnover)
}

// begin counts an attempt of a workspace in flight, and end records that it has ended.
func (c *class) begin(workspace string) {
	c.inflight++
	c.inflightBy[workspace]++
}

func (c *class) end(workspace string) {
	c.inflight--
	if c.inflightBy[workspace]--; c.inflightBy[workspace] == 0 {
		delete(c.inflightBy, workspace)
	}
}

// fairShareRatio returns how many times its fair share of the slots a workspace uses, at least 1. The
// slots that the class uses are shared equally by the workspaces that use any; what one of them
// does not need is thereby left to the others.
func (c *class) fairShareRatio(workspace string) float64 {
	used := c.inflightBy[workspace]
	if used == 0 {
		return 1
	}
	return max(1, float64(used*len(c.inflightBy))/float64(c.inflight))
}

// precedesByClass reports whether w is served before o because of their classes, and whether
// the classes decide. A class with less than its guaranteed share goes first, then the more
// urgent one.
func (w *Waiter) precedesByClass(o *Waiter) (precedes, decides bool) {
	if w.class == o.class {
		return false, false
	}
	if w.class.isGuaranteed != o.class.isGuaranteed {
		return w.class.isGuaranteed, true
	}
	return w.class.priority < o.class.priority, true
}

// classDemand holds how many requests of each class arrive per second and rank, the most urgent
// class first. It is nil for a service with one class.
type classDemand []float64

// classDemand returns the demand at a rank, from the requests that this host gets and its
// share of the slots.
func (sv *service) classDemand(share float64, now time.Duration) classDemand {
	ranks := 0
	for _, g := range sv.groups {
		if !g.isClosed {
			ranks += g.ranks
		}
	}
	if len(sv.classes) <= 1 || ranks == 0 {
		return nil
	}
	demand := make(classDemand, len(sv.classes))
	for i, c := range sv.classes {
		demand[i] = c.arrivals.perSecond(now) / share / float64(ranks)
	}
	return demand
}

// value returns the value of serving the given number of requests per second, the most urgent
// ones first. With one class each request counts the same, whether or not there are as many.
func (d classDemand) value(perSecond float64) float64 {
	if d == nil {
		return perSecond
	}
	value, weight := 0.0, 1.0
	for _, arrivals := range d {
		served := min(arrivals, perSecond)
		value += weight * served
		perSecond -= served
		weight *= classValueRatio
	}
	return value + weight*spareValue*perSecond
}
