package hollow

import (
	"context"
	"slices"
	"time"

	"ravensill/lab/scale"
)

// Measurement describes what is measured at one size.
type Measurement struct {
	Options
	IdleDuration   time.Duration // duration of the measurement without changes; 0 leaves it out
	Changes        int           // number of changes published one at a time
	ChangeInterval time.Duration // between changes; 0: each follows once the previous one is in force everywhere
	BurstChanges   int           // number of changes published without a pause; 0 leaves the burst out
}

// Point holds the values of the metrics measured at one size, by name. A metric that was not measured has no entry.
type Point struct {
	Followers     int                `json:"followers"`
	Configuration ConfigurationSize  `json:"content"`
	Values        map[string]float64 `json:"figures"`
	Violations    []string           `json:"faults"`
}

// Names of the metrics. They are keys of the written report.
const (
	StartTime                = "start"
	StartProcessor           = "start_processor"
	StartBytesIn             = "start_bytes_in"
	StartDeferred            = "start_deferred"
	LiveHeap                 = "live_heap"
	Stacks                   = "stacks"
	RestProcessor            = "rest_processor"
	RestBytesIn              = "rest_bytes_in"
	RestBytesOut             = "rest_bytes_out"
	PacedP50                 = "paced_p50"
	PacedP99                 = "paced_p99"
	PacedLatest              = "paced_latest"
	PacedProcessor           = "paced_processor"
	PacedBytesIn             = "paced_bytes_in"
	PacedBytesOut            = "paced_bytes_out"
	ChangeProcessor          = "change_processor"
	ChangeBytes              = "change_bytes"
	ChangeDeltas             = "change_deltas"
	BurstP50                 = "burst_p50"
	BurstP99                 = "burst_p99"
	BurstLatest              = "burst_latest"
	BurstSeconds             = "burst_seconds"
	BurstDeltas              = "burst_deltas"
	BurstBytes               = "burst_bytes"
	BurstBytesIn             = "burst_bytes_in"
	BurstProcessor           = "burst_processor"
	PublisherRestProcessor   = "publisher_rest_processor"
	PublisherPacedProcessor  = "publisher_paced_processor"
	PublisherChangeProcessor = "publisher_change_processor"
	PublisherBurstProcessor  = "publisher_burst_processor"
	PublisherMemory          = "publisher_memory"
	PublisherChangeBytes     = "publisher_change_bytes"
	PublisherRestBytesOut    = "publisher_rest_bytes_out"
)

// Metric describes a measured value.
type Metric struct {
	Name        string  `json:"name"`
	Unit        string  `json:"unit"`
	Description string  `json:"what"`
	Counted     bool    `json:"counted"` // counts or bytes, which do not depend on the machine's speed
	Budget      float64 `json:"budget,omitempty"`
}

// Budgets that the operators set: a change in force within 12 s, and for the distribution of the configuration 7 KB per
// second, 1.3% of a core and 128 MB at each gateway.
const (
	budgetSeconds   = 12
	budgetBytes     = 7 * 1024
	budgetProcessor = 0.013
	budgetMemory    = 128 << 20
)

// Metrics returns all metrics in the order of the report. Those of followers are means per follower, except where the
// description says otherwise.
func Metrics() []Metric {
	return []Metric{
		{PacedP50, "s", "one change at a time, from the request until in force: median over changes and followers", false,
			budgetSeconds},
		{PacedP99, "s", "the same, 99 in 100", false, budgetSeconds},
		{PacedLatest, "s", "the same, the latest", false, budgetSeconds},
		{BurstP50, "s", "changes of a burst, from each request until in force: median", false, budgetSeconds},
		{BurstP99, "s", "the same, 99 in 100", false, budgetSeconds},
		{BurstLatest, "s", "the same, the latest", false, budgetSeconds},
		{BurstSeconds, "s", "from the burst's first request until all is in force everywhere", false, budgetSeconds},
		{BurstDeltas, "", "deltas by which a follower got the burst", true, 0},
		{RestBytesIn, "bytes/s", "received by a follower at rest: heartbeats", true, budgetBytes},
		{RestBytesOut, "bytes/s", "sent by a follower at rest", true, budgetBytes},
		{PacedBytesIn, "bytes/s", "received by a follower under changes one at a time", true, budgetBytes},
		{PacedBytesOut, "bytes/s", "sent by a follower then", true, budgetBytes},
		{BurstBytes, "bytes", "received by a follower in the burst; the budget is that of 12 s", true,
			budgetBytes * budgetSeconds},
		{BurstBytesIn, "bytes/s", "the same a second, as long as the burst lasts", true, budgetBytes},
		{ChangeBytes, "bytes", "delta of a change on the wire, a follower", true, 0},
		{ChangeDeltas, "", "deltas a change at a follower", true, 0},
		{RestProcessor, "core", "processor share of a follower at rest", false, budgetProcessor},
		{PacedProcessor, "core", "processor share of a follower under changes one at a time", false, budgetProcessor},
		{ChangeProcessor, "ms", "processor time of a change at a follower, beyond rest", false, 0},
		{BurstProcessor, "ms", "processor time of the burst at a follower", false, 0},
		{LiveHeap, "bytes", "live heap of a follower", true, budgetMemory},
		{Stacks, "bytes", "stacks of a follower", true, budgetMemory},
		{StartTime, "s", "all followers at once from an empty disk, until in force everywhere", false, 0},
		{StartProcessor, "ms", "processor time of such a start, a follower", false, 0},
		{StartBytesIn, "bytes", "received by a follower in such a start", true, 0},
		{StartDeferred, "", "snapshots put off at such a start, all followers", false, 0},
		{PublisherRestProcessor, "core", "processor share of all publishers at rest", false, 0},
		{PublisherPacedProcessor, "core", "processor share of all publishers under changes one at a time", false, 0},
		{PublisherChangeProcessor, "ms", "processor time of a change, all publishers, beyond rest", false, 0},
		{PublisherBurstProcessor, "s", "processor time of the burst, all publishers", false, 0},
		{PublisherMemory, "bytes", "resident memory of the publisher with most", false, 0},
		{PublisherChangeBytes, "bytes", "sent for a change, all publishers, without heartbeats", true, 0},
		{PublisherRestBytesOut, "bytes/s", "sent at rest, all publishers", true, 0},
	}
}

// Measure makes the measurement with a new group of publishers and followers.
func (s Measurement) Measure(ctx context.Context) (*Point, error) {
	g, err := NewGroup(ctx, s.Options)
	if err != nil {
		return nil, err
	}
	defer g.Close()
	m := &pointMeasurement{Measurement: s, group: g, values: map[string]float64{}, followerCount: float64(s.Followers)}
	m.heapBefore, m.stacksBefore = liveMemory()
	for _, phase := range []func(context.Context) error{m.measureStart, m.measureIdle, m.measureSpaced, m.measureBurst} {
		err := phase(ctx)
		if err != nil {
			return nil, err
		}
	}
	m.measureMemory()
	violations, err := g.Violations(ctx)
	return &Point{Followers: s.Followers, Configuration: s.Configuration, Values: m.values, Violations: violations}, err
}

// pointMeasurement is a measurement in progress.
type pointMeasurement struct {
	Measurement
	group                    *Group
	values                   map[string]float64
	followerCount            float64
	heapBefore, stacksBefore float64 // bytes before any follower was started
	idleWindow               window
}

// measureStart measures the start of all followers with empty disks, so that each receives a snapshot.
func (m *pointMeasurement) measureStart(ctx context.Context) error {
	g := m.group
	measured, err := g.measure(ctx, func() error {
		err := g.Fleet.Start(g.Fleet.members())
		if err != nil {
			return err
		}
		return g.waitEverywhere(ctx)
	})
	m.values[StartTime] = measured.Seconds
	m.values[StartProcessor] = milliseconds(measured.CPUSeconds) / m.followerCount
	m.values[StartBytesIn] = measured.BytesIn / m.followerCount
	m.values[StartDeferred] = measured.DeferredSnapshots
	g.takePublished()
	g.Fleet.TakeApplied()
	return err
}

// measureIdle measures an interval without changes. It does nothing if IdleDuration is 0.
func (m *pointMeasurement) measureIdle(ctx context.Context) (err error) {
	if m.IdleDuration == 0 {
		return nil
	}
	m.idleWindow, err = m.group.measure(ctx, func() error { return waitUntil(ctx, time.Now().Add(m.IdleDuration)) })
	w := &m.idleWindow
	m.values[RestProcessor] = w.CPUSeconds / w.Seconds / m.followerCount
	m.values[RestBytesIn] = w.BytesIn / w.Seconds / m.followerCount
	m.values[RestBytesOut] = w.BytesOut / w.Seconds / m.followerCount
	m.values[PublisherRestProcessor] = w.PublisherCPUSeconds / w.Seconds
	m.values[PublisherRestBytesOut] = w.PublisherBytesOut / w.Seconds
	return err
}

// aboveIdle returns by how much the usage in a window exceeds the idle usage over the same time. Without an idle
// measurement it returns the whole usage.
func (m *pointMeasurement) aboveIdle(w *window, usage func(w *window) float64) float64 {
	if m.IdleDuration == 0 {
		return usage(w)
	}
	return usage(w) - usage(&m.idleWindow)/m.idleWindow.Seconds*w.Seconds
}

// measureSpaced measures changes that are published one at a time. Without a change interval, only latencies, deltas
// and bytes are measured.
func (m *pointMeasurement) measureSpaced(ctx context.Context) error {
	g := m.group
	measured, err := g.measure(ctx, func() error {
		return g.publishSpaced(ctx, m.Changes, m.ChangeInterval,
			g.waitEverywhere)
	})
	if err != nil {
		return err
	}
	histories := g.Fleet.TakeApplied()
	latency := newLatency(g.takePublished(), histories)
	m.values[PacedP50] = latency.P50
	m.values[PacedP99] = latency.P99
	m.values[PacedLatest] = latency.Max
	changes := float64(m.Changes)
	deltas, bytes := g.Fleet.countDeltas(histories)
	m.values[ChangeDeltas] = deltas / changes / m.followerCount
	m.values[ChangeBytes] = bytes / changes / m.followerCount
	m.values[PublisherChangeBytes] = (measured.PublisherBytesOut - (measured.BytesIn - bytes)) / changes
	if m.ChangeInterval == 0 {
		return nil
	}
	m.values[PacedProcessor] = measured.CPUSeconds / measured.Seconds / m.followerCount
	m.values[PacedBytesIn] = measured.BytesIn / measured.Seconds / m.followerCount
	m.values[PacedBytesOut] = measured.BytesOut / measured.Seconds / m.followerCount
	m.values[PublisherPacedProcessor] = measured.PublisherCPUSeconds / measured.Seconds
	followerCPU := func(measured *window) float64 { return measured.CPUSeconds }
	publisherCPU := func(measured *window) float64 { return measured.PublisherCPUSeconds }
	m.values[ChangeProcessor] = milliseconds(m.aboveIdle(&measured, followerCPU)) / changes / m.followerCount
	m.values[PublisherChangeProcessor] = milliseconds(m.aboveIdle(&measured, publisherCPU)) / changes
	return nil
}

// measureBurst measures changes that are published without a pause. It does nothing if BurstChanges is 0.
func (m *pointMeasurement) measureBurst(ctx context.Context) error {
	if m.BurstChanges == 0 {
		return nil
	}
	g := m.group
	measured, err := g.measure(ctx, func() error {
		err := g.publishBurst(ctx, m.BurstChanges)
		if err != nil {
			return err
		}
		return g.waitEverywhere(ctx)
	})
	if err != nil {
		return err
	}
	histories := g.Fleet.TakeApplied()
	latency := newLatency(g.takePublished(), histories)
	deltas, _ := g.Fleet.countDeltas(histories)
	m.values[BurstP50] = latency.P50
	m.values[BurstP99] = latency.P99
	m.values[BurstLatest] = latency.Max
	m.values[BurstSeconds] = measured.Seconds
	m.values[BurstDeltas] = deltas / m.followerCount
	m.values[BurstBytes] = measured.BytesIn / m.followerCount
	m.values[BurstBytesIn] = measured.BytesIn / measured.Seconds / m.followerCount
	m.values[BurstProcessor] = milliseconds(measured.CPUSeconds) / m.followerCount
	m.values[PublisherBurstProcessor] = measured.PublisherCPUSeconds
	m.values[PublisherMemory] = measured.PublisherMemory
	return nil
}

// measureMemory measures the memory of the running followers.
func (m *pointMeasurement) measureMemory() {
	heap, stacks := liveMemory()
	m.values[LiveHeap] = (heap - m.heapBefore) / m.followerCount
	m.values[Stacks] = (stacks - m.stacksBefore) / m.followerCount
}

// countDeltas returns the number of deltas among the applied versions, and their total bytes on the wire.
func (f *Fleet) countDeltas(histories [][]AppliedVersion) (count, bytes float64) {
	for _, history := range histories {
		for i := range history {
			if history[i].Snapshot {
				continue
			}
			count++
			bytes += float64(f.deltaSizes.size(&history[i]))
		}
	}
	return count, bytes
}

func milliseconds(seconds float64) float64 { return seconds * 1e3 }

// ScalingSeries holds the points measured at several numbers of followers, and for each metric a fit of its growth.
type ScalingSeries struct {
	Points []*Point             `json:"points"`
	Fits   map[string]scale.Fit `json:"fits"`
}

// NewScalingSeries fits the values of each metric to the number of followers. A metric has no fit if it was measured at
// fewer than three points or is not above zero at each of them.
func NewScalingSeries(points []*Point) ScalingSeries {
	axis := ScalingSeries{Points: points, Fits: map[string]scale.Fit{}}
	for _, metric := range Metrics() {
		var sizes, values []float64
		for _, point := range points {
			value, measured := point.Values[metric.Name]
			if measured {
				sizes = append(sizes, float64(point.Followers))
				values = append(values, value)
			}
		}
		const minPoints = 3
		if len(sizes) >= minPoints && slices.Min(values) > 0 {
			fit := scale.NewFit(sizes, values, metric.Counted)
			fit.TopExponent = 0 // meaningful only for sizes that grow by equal factors; infinite for some others
			axis.Fits[metric.Name] = fit
		}
	}
	return axis
}
