package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// between draws a number from a range.
func (s *simulation) between(bounds [2]float64) float64 {
	return bounds[0] + s.random.Float64()*(bounds[1]-bounds[0])
}

// newCustomer draws a customer of a plan.
func (s *simulation) newCustomer(plan int) *customer {
	config, p := &s.config, &s.config.Plans[plan]
	c := &customer{id: len(s.customers), plan: plan, bucket: p.Burst, ceiling: p.CeilingBurst, refilledAt: s.now}
	c.name = fmt.Sprintf("%016x", s.random.Uint64()>>31)
	spread := int(math.Round(float64(config.Gateways) * s.between(p.Spread)))
	if p.GatewaysPerCustomer > 0 {
		spread = p.GatewaysPerCustomer
	}
	c.spread = max(1, min(config.Gateways, spread))
	c.first = s.random.IntN(config.Gateways)
	demand := s.between(config.Demand)
	if s.random.Float64() < config.HeavyShare {
		demand = s.between(config.HeavyDemand)
		c.heavy = true
	}
	c.requestRate = demand * p.Rate
	s.drawHabits(c)
	return c
}

// drawHabits draws how unevenly a customer's requests come, over its gateways and in time.
func (s *simulation) drawHabits(c *customer) {
	config, plan := &s.config, s.plans[c.plan]
	if config.GatewaySigma > 0 {
		sum := 0.0
		for range c.spread {
			sum += math.Exp(s.random.NormFloat64() * config.GatewaySigma)
			c.cumulativeShares = append(c.cumulativeShares, sum)
		}
	}
	if config.SpikyShare > 0 && !c.heavy && s.random.Float64() < config.SpikyShare {
		c.spiky = true
		c.spikeOffset = int64(s.random.Float64() * float64(config.SpikeEvery))
		c.requestRate = plan.Rate * s.between(config.HeavyDemand)
	}
	c.idealBucket = plan.Burst
	c.idealRefilledAt = s.now
	c.report = &CustomerReport{
		Name:            c.name,
		Plan:            config.Plans[c.plan].Name,
		Spread:          c.spread,
		DemandOverQuota: c.requestRate / plan.Rate,
		Heavy:           c.heavy,
		Spiky:           c.spiky,
		weight:          plan.PriorityWeight,
		beyondCost:      plan.OverQuotaCost,
	}
}

// interArrival draws the time to the next arrival of a Poisson process of so many requests a second, in ns.
func (s *simulation) interArrival(rate float64) int64 {
	if rate <= 0 {
		return math.MaxInt64 / 4
	}
	return int64(s.random.ExpFloat64() / rate * float64(time.Second))
}

// requestArrives sends a customer's next request, unless the customer pauses between two spikes, and schedules the one after it.
func (s *simulation) requestArrives(c *customer) {
	s.add(&event{at: s.now + s.interArrival(c.requestRate), kind: requestArrives, customer: c.id})
	if c.spiky && !s.inSpike(c) {
		return
	}
	s.countFirstTry(c)
	s.send(c, s.now+int64(s.config.Deadline), 0)
}

// inSpike reports whether a spiky customer sends requests now.
func (s *simulation) inSpike(c *customer) bool {
	return (s.now+c.spikeOffset)%int64(s.config.SpikeEvery) < int64(s.config.SpikeOn)
}

// stepDemand changes the demand of heavy customers for the rest of the run.
func (s *simulation) stepDemand() {
	for _, c := range s.customers {
		if c.heavy {
			c.requestRate = s.config.StepTo * s.plans[c.plan].Rate
		}
	}
}

// drawGateway draws the gateway of a customer's set that a request goes to.
func (s *simulation) drawGateway(c *customer) int {
	if c.cumulativeShares == nil {
		return s.random.IntN(c.spread)
	}
	draw := s.random.Float64() * c.cumulativeShares[c.spread-1]
	i, _ := slices.BinarySearch(c.cumulativeShares, draw)
	return min(i, c.spread-1)
}

// countFirstTry counts a first try, and whether an observer who sees all first tries would have admitted it.
func (s *simulation) countFirstTry(c *customer) {
	c.report.FirstTries++
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
	s.report.Admitted++
	planReport.Admitted++
	c.report.Sent++
	if c.heavy && c.plan == 0 {
		index := min(int((s.now-startTime)/windowLength), len(s.report.Windows)-1)
		window := &s.report.Windows[index]
		window.Sent++
		if c.bucket < 1 {
			window.Beyond++
		}
	}
	if c.bucket >= 1 {
		c.bucket--
	} else {
		c.report.Beyond++
		s.report.Beyond++
		planReport.Beyond++
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

// reject counts a rejection, and whether the true bucket had room.
func (s *simulation) reject(c *customer) {
	s.report.Rejected++
	s.report.Plans[c.plan].Rejected++
	s.refill(c)
	if c.bucket >= s.plans[c.plan].Burst/2 {
		s.report.RejectedWithRoom++
		c.report.RejectedWithRoom++
		s.report.Plans[c.plan].RejectedWithRoom++
	}
}

// sampleCopies samples the first heavy customer of each plan.
func (s *simulation) sampleCopies(at time.Duration) {
	seen := map[int]bool{}
	for _, c := range s.customers {
		if !c.heavy || seen[c.plan] {
			continue
		}
		seen[c.plan] = true
		s.refill(c)
		sample := Sample{At: at, Name: c.report.Plan, True: c.bucket}
		for i := range min(4, c.spread) {
			g := s.gateways[(c.first+i*c.spread/4)%len(s.gateways)]
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
