package fleetsim

import "math"

// countNewRequest counts a request that is not a retry, and whether the ideal limiter, a single one for the whole
// fleet, would admit it.
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
	c.ceilingBucket = math.Min(c.ceilingBucket+plan.CeilingRate*elapsed, plan.CeilingBurst)
}

// countForwarded takes a unit from a customer's true buckets for a request that is sent to a host, and counts which of
// its quota, cap on requests in flight and ceiling the request exceeds.
func (s *simulation) countForwarded(c *customer) {
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
	case c.ceilingBucket >= 1:
		c.ceilingBucket--
	default:
		s.report.OverCeiling++
	}
}

// countInWindow counts a forwarded unit in Report.Windows, if the customer is a heavy one of the first plan.
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

// countRejected counts a rejection, and whether it is within the quota: the customer's true bucket holds half a burst
// or more.
func (s *simulation) countRejected(c *customer) {
	s.report.Rejected++
	s.report.Plans[c.plan].Rejected++
	s.refill(c)
	if c.bucket >= s.plans[c.plan].Burst/2 {
		s.report.RejectedWithinQuota++
		c.report.RejectedWithinQuota++
		s.report.Plans[c.plan].RejectedWithinQuota++
	}
}

// sampleBuckets adds a sample of the first heavy customer of each plan to Report.Trace.
func (s *simulation) sampleBuckets() {
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
			g := s.gateways[(c.firstGateway+i*c.spread/maxCopies)%len(s.gateways)]
			units, peerRate, known := g.logic.CustomerBucket(c.name)
			if !known {
				units = s.plans[c.plan].Burst
			}
			sample.CopyUnits = append(sample.CopyUnits, units)
			sample.PeerRates = append(sample.PeerRates, peerRate)
		}
		s.report.Trace = append(s.report.Trace, sample)
	}
}
