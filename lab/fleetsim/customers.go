package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// drawFrom draws a number from a range.
func (s *simulation) drawFrom(bounds [2]float64) float64 {
	return bounds[0] + s.random.Float64()*(bounds[1]-bounds[0])
}

// newCustomer draws a customer of a plan.
func (s *simulation) newCustomer(plan int) *customer {
	config, p := &s.config, &s.config.Plans[plan]
	c := &customer{id: len(s.customers), plan: plan, bucket: p.Burst, ceiling: p.CeilingBurst, refilledAt: s.now}
	c.name = fmt.Sprintf("%016x", s.random.Uint64()>>31)
	spread := int(math.Round(float64(config.Gateways) * s.drawFrom(p.SubsetRange)))
	if p.GatewaysPerCustomer > 0 {
		spread = p.GatewaysPerCustomer
	}
	c.subsetSize = max(1, min(config.Gateways, spread))
	c.firstGateway = s.random.IntN(config.Gateways)
	demand := s.drawFrom(config.Demand)
	if s.random.Float64() < config.HeavyShare {
		demand = s.drawFrom(config.HeavyDemand)
		c.isHeavy = true
	}
	c.requestRate = demand * p.Rate
	s.drawTraffic(c)
	return c
}

// drawTraffic draws how a customer's requests are spread over its gateways and in time.
func (s *simulation) drawTraffic(c *customer) {
	config, plan := &s.config, s.plans[c.plan]
	if config.GatewaySigma > 0 {
		sum := 0.0
		for range c.subsetSize {
			sum += math.Exp(s.random.NormFloat64() * config.GatewaySigma)
			c.cumulativeShares = append(c.cumulativeShares, sum)
		}
	}
	if config.SpikyShare > 0 && !c.isHeavy && s.random.Float64() < config.SpikyShare {
		c.isSpiky = true
		c.spikeOffset = int64(s.random.Float64() * float64(config.SpikeEvery))
		c.requestRate = plan.Rate * s.drawFrom(config.HeavyDemand)
	}
	c.idealBucket = plan.Burst
	c.idealRefilledAt = s.now
	c.report = &CustomerReport{
		Name:            c.name,
		Plan:            config.Plans[c.plan].Name,
		SubsetSize:      c.subsetSize,
		DemandOverQuota: c.requestRate / plan.Rate,
		Heavy:           c.isHeavy,
		Spiky:           c.isSpiky,
		weight:          plan.PriorityWeight,
		beyondCost:      plan.OverQuotaCost,
	}
}

// interArrival draws the time to the next arrival of a Poisson process with a rate in requests a second, in ns.
func (s *simulation) interArrival(rate float64) int64 {
	if rate <= 0 {
		return math.MaxInt64 / 4
	}
	return int64(s.random.ExpFloat64() / rate * float64(time.Second))
}

// requestArrives sends a customer's next request, unless the customer pauses between two spikes, and schedules the
// one after it.
func (s *simulation) requestArrives(c *customer) {
	s.add(&event{at: s.now + s.interArrival(c.requestRate), kind: requestArrives, customer: c.id})
	if c.isSpiky && !s.inSpike(c) {
		return
	}
	s.countFirstRequest(c)
	s.send(c, s.now+int64(s.config.Deadline), 0)
}

// inSpike reports whether a spiky customer sends requests now.
func (s *simulation) inSpike(c *customer) bool {
	return (s.now+c.spikeOffset)%int64(s.config.SpikeEvery) < int64(s.config.SpikeOn)
}

// stepDemand changes the demand of heavy customers for the rest of the run.
func (s *simulation) stepDemand() {
	for _, c := range s.customers {
		if c.isHeavy {
			c.requestRate = s.config.StepTo * s.plans[c.plan].Rate
		}
	}
}

// drawGateway draws the gateway of a customer's subset that receives a request.
func (s *simulation) drawGateway(c *customer) int {
	if c.cumulativeShares == nil {
		return s.random.IntN(c.subsetSize)
	}
	draw := s.random.Float64() * c.cumulativeShares[c.subsetSize-1]
	i, _ := slices.BinarySearch(c.cumulativeShares, draw)
	return min(i, c.subsetSize-1)
}

// countFirstRequest counts a request that is no retry, and whether an observer who sees all of these would have
// admitted it.
func (s *simulation) countFirstRequest(c *customer) {
	c.report.FirstRequests++
	plan := s.plans[c.plan]
	elapsed := float64(s.now-c.idealRefilledAt) / float64(time.Second)
	c.idealRefilledAt = s.now
	c.idealBucket = math.Min(c.idealBucket+elapsed*plan.Rate, plan.Burst)
	if c.idealBucket >= 1 {
		c.idealBucket--
		c.report.IdealAdmitted++
	}
}

// refill brings a customer's true buckets up to now.
func (s *simulation) refill(c *customer) {
	plan := s.plans[c.plan]
	elapsed := float64(s.now-c.refilledAt) / float64(time.Second)
	c.refilledAt = s.now
	c.bucket = math.Min(c.bucket+plan.Rate*elapsed, plan.Burst)
	c.ceiling = math.Min(c.ceiling+plan.CeilingRate*elapsed, plan.CeilingBurst)
}

// admit takes a unit from a customer's true buckets, or counts what they lack.
func (s *simulation) admit(c *customer) {
	s.refill(c)
	plan, planReport := s.plans[c.plan], &s.report.Plans[c.plan]
	s.report.AdmittedUnits++
	planReport.AdmittedUnits++
	c.report.SentUnits++
	if c.isHeavy && c.plan == 0 {
		index := min(int((s.now-startTime)/windowLength), len(s.report.Windows)-1)
		window := &s.report.Windows[index]
		window.SentUnits++
		if c.bucket < 1 {
			window.BeyondUnits++
		}
	}
	if c.bucket >= 1 {
		c.bucket--
	} else {
		c.report.BeyondUnits++
		s.report.BeyondUnits++
		planReport.BeyondUnits++
	}
	if plan.MaxInFlight > 0 && c.inFlight >= plan.MaxInFlight {
		s.report.OverInFlight++
	}
	if plan.CeilingRate > 0 {
		if c.ceiling >= 1 {
			c.ceiling--
		} else {
			s.report.OverCeiling++
		}
	}
}

// reject counts a rejection, and whether the true bucket was half full or more.
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
func (s *simulation) sampleCopies(at time.Duration) {
	seen := map[int]bool{}
	for _, c := range s.customers {
		if !c.isHeavy || seen[c.plan] {
			continue
		}
		seen[c.plan] = true
		s.refill(c)
		sample := Sample{At: at, Name: c.report.Plan, True: c.bucket}
		for i := range min(4, c.subsetSize) {
			g := s.gateways[(c.firstGateway+i*c.subsetSize/4)%len(s.gateways)]
			level, others, known := g.module.Copy(c.name)
			if !known {
				level = s.plans[c.plan].Burst
			}
			sample.Copies = append(sample.Copies, level)
			sample.Others = append(sample.Others, others)
		}
		s.report.Trace = append(s.report.Trace, sample)
	}
}
