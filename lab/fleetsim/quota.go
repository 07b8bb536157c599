package fleetsim

import "math"

// countNewRequest counts a request that is no retry, and whether one limiter for the whole fleet would admit it.
func (s *simulation) countNewRequest(c *customer) {
	c.report.NewRequests++
	plan := s.plans[c.plan]
	elapsed := seconds(s.now.Sub(c.idealRefilledAt))
	c.idealRefilledAt = s.now
	c.idealBucket = math.Min(c.idealBucket+elapsed*plan.Rate, plan.Burst)
	if c.idealBucket >= 1 {
		c.idealBucket--
		c.report.IdealAdmitted++
	}
}

// refill refills a customer's true buckets up to now.
func (s *simulation) refill(c *customer) {
	plan := s.plans[c.plan]
	elapsed := seconds(s.now.Sub(c.refilledAt))
	c.refilledAt = s.now
	c.bucket = math.Min(c.bucket+plan.Rate*elapsed, plan.Burst)
	c.ceiling = math.Min(c.ceiling+plan.CeilingRate*elapsed, plan.CeilingBurst)
}

// admit takes a unit from a customer's true buckets, or counts what they lack.
func (s *simulation) admit(c *customer) {
	s.refill(c)
	plan := s.plans[c.plan]
	planReport := &s.report.Plans[c.plan]
	s.report.Forwarded++
	planReport.Forwarded++
	c.report.Forwarded++
	s.countInWindow(c)
	if c.bucket >= 1 {
		c.bucket--
	} else {
		c.report.OverQuota++
		s.report.OverQuota++
		planReport.OverQuota++
	}
	if plan.MaxInFlight > 0 && c.inFlight >= plan.MaxInFlight {
		s.report.OverInFlight++
	}
	switch {
	case plan.CeilingRate == 0:
	case c.ceiling >= 1:
		c.ceiling--
	default:
		s.report.OverCeiling++
	}
}

// countInWindow counts a forwarded unit of a heavy customer of the first plan.
func (s *simulation) countInWindow(c *customer) {
	if !c.heavy || c.plan != 0 {
		return
	}
	index := min(int(s.now.Sub(startTime)/windowLength), len(s.report.Windows)-1)
	window := &s.report.Windows[index]
	window.Forwarded++
	if c.bucket < 1 {
		window.OverQuota++
	}
}

// reject counts a rejection, and whether the true bucket held half a burst or more.
func (s *simulation) reject(c *customer) {
	s.report.Rejected++
	s.report.Plans[c.plan].Rejected++
	s.refill(c)
	if c.bucket >= s.plans[c.plan].Burst/2 {
		s.report.RejectedWithinQuota++
		c.report.RejectedWithinQuota++
		s.report.Plans[c.plan].RejectedWithinQuota++
	}
}

// sampleCopies samples the first heavy customer of each plan.
func (s *simulation) sampleCopies() {
	const maxCopies = 4
	sampled := map[int]bool{} // by plan
	for _, c := range s.customers {
		if !c.heavy || sampled[c.plan] {
			continue
		}
		sampled[c.plan] = true
		s.refill(c)
		sample := BucketSample{At: s.now.Sub(startTime), Plan: c.report.Plan, TrueUnits: c.bucket}
		for i := range min(maxCopies, c.spread) {
			g := s.gateways[(c.first+i*c.spread/maxCopies)%len(s.gateways)]
			level, others, known := g.logic.CustomerBucket(c.name)
			if !known {
				level = s.plans[c.plan].Burst
			}
			sample.CopyUnits = append(sample.CopyUnits, level)
			sample.PeerRates = append(sample.PeerRates, others)
		}
		s.report.Trace = append(s.report.Trace, sample)
	}
}
