package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// drawBetween draws a number that is uniform between two bounds.
func (s *simulation) drawBetween(bounds [2]float64) float64 {
	return bounds[0] + s.random.Float64()*(bounds[1]-bounds[0])
}

// newCustomer draws the demand, the gateways and the traffic of one customer. plan is the index of its plan.
func (s *simulation) newCustomer(plan int) *customer {
	config := &s.config
	p := &config.Plans[plan]
	c := &customer{
		id:            len(s.customers),
		plan:          plan,
		name:          fmt.Sprintf("%016x", s.random.Uint64()>>31),
		bucket:        p.Burst,
		ceilingBucket: p.CeilingBurst,
		refilledAt:    s.now,
	}
	spread := int(math.Round(float64(config.Gateways) * s.drawBetween(p.SpreadRange)))
	if p.GatewaysPerCustomer > 0 {
		spread = p.GatewaysPerCustomer
	}
	c.spread = max(1, min(config.Gateways, spread))
	c.firstGateway = s.random.IntN(config.Gateways)
	demand := s.drawBetween(config.DemandRange)
	if s.random.Float64() < config.HeavyFraction {
		demand = s.drawBetween(config.HeavyDemandRange)
		c.heavy = true
	}
	c.requestRate = demand * p.Rate
	s.drawTraffic(c)
	return c
}

// drawTraffic draws how a customer's requests are distributed over its gateways and in time, and creates its report.
func (s *simulation) drawTraffic(c *customer) {
	config := &s.config
	plan := s.plans[c.plan]
	if config.GatewayShareSigma > 0 {
		sum := 0.0
		for range c.spread {
			sum += math.Exp(s.random.NormFloat64() * config.GatewayShareSigma)
			c.cumulativeShares = append(c.cumulativeShares, sum)
		}
	}
	if config.SpikyFraction > 0 && !c.heavy && s.random.Float64() < config.SpikyFraction {
		c.spiky = true
		c.spikeOffset = time.Duration(s.random.Float64() * float64(config.SpikePeriod))
		c.requestRate = plan.Rate * s.drawBetween(config.HeavyDemandRange)
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
		overQuotaCost:   plan.OverQuotaCost,
	}
}

// drawInterArrival draws the time to the next arrival of a Poisson process, whose rate is in requests per second. With
// rate 0 the time is practically infinite.
func (s *simulation) drawInterArrival(rate float64) time.Duration {
	if rate <= 0 {
		return math.MaxInt64 / 4
	}
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

// requestArrives sends a customer's next request and schedules the one after it. A spiky customer skips the request
// between two spikes.
func (s *simulation) requestArrives(c *customer) {
	s.addEvent(&event{at: s.now.Add(s.drawInterArrival(c.requestRate)), kind: requestArrives, customer: c.id})
	if c.spiky && !s.inSpike(c) {
		return
	}
	s.countNewRequest(c)
	s.send(c, s.now.Add(s.config.RequestTimeout), 0)
}

// inSpike reports whether a spiky customer is in one of its spikes now.
func (s *simulation) inSpike(c *customer) bool {
	phase := time.Duration(s.now.Add(c.spikeOffset)) % s.config.SpikePeriod
	return phase < s.config.SpikeLength
}

// stepDemand sets the demand of heavy customers to DemandStepTo for the rest of the simulation.
func (s *simulation) stepDemand() {
	for _, c := range s.customers {
		if c.heavy {
			c.requestRate = s.config.DemandStepTo * s.plans[c.plan].Rate
		}
	}
}

// drawGateway draws the gateway that a request goes to, as an index in the customer's set.
func (s *simulation) drawGateway(c *customer) int {
	if c.cumulativeShares == nil {
		return s.random.IntN(c.spread)
	}
	draw := s.random.Float64() * c.cumulativeShares[c.spread-1]
	i, _ := slices.BinarySearch(c.cumulativeShares, draw)
	return min(i, c.spread-1)
}

func seconds(d time.Duration) float64 { return float64(d) / float64(time.Second) }
