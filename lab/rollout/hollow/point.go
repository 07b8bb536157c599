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
	IdleDuration   time.Duration // without any change
	Changes        int           // one each Pace
	ChangeInterval time.Duration // 0: a change follows as soon as the one before is in force everywhere
	BurstChanges   int           // changes one right after the other
}

// Point is one size with its figures by name. A figure that was not measured is absent.
type Point struct {
	Followers     int                `json:"followers"`
	Configuration ConfigurationSize  `json:"content"`
	Values        map[string]float64 `json:"figures"`
	Violations    []string           `json:"faults"`
}

// Names of figures.
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

// Metric describes a figure.
type Metric struct {
	Name        string  `json:"name"`
	Unit        string  `json:"unit"`
	Description string  `json:"what"`
	Counted     bool    `json:"counted"` // a count or bytes, not a time
	Budget      float64 `json:"budget,omitempty"`
}

// What the operators allow: a change in force within 12 s, and a gateway's control within 7 KB a second, 1.3% of a
// core and 128 MB.
const (
	budgetSeconds   = 12
	budgetBytes     = 7 * 1024
	budgetProcessor = 0.013
	budgetMemory    = 128 << 20
)

// Metrics returns all figures in the order of the report. Those of followers are means of one.
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

// Measure measures one size.
func (s Measurement) Measure(ctx context.Context) (*Point, error) {
	g, err := NewGroup(ctx, s.Options)
	if err != nil {
		return nil, err
	}
	defer g.Close()
	m := &pointMeasurement{Measurement: s, group: g, figures: map[string]float64{}, followers: float64(s.Followers)}
	m.heap, m.stacks = memory()
	for _, phase := range []func(context.Context) error{m.measureStart, m.measureIdle, m.measureSpaced, m.measureBurst} {
		err := phase(ctx)
		if err != nil {
			return nil, err
		}
	}
	m.measureMemory()
	violations, err := g.Violations(ctx)
	return &Point{Followers: s.Followers, Configuration: s.Configuration, Values: m.figures, Violations: violations}, err
}

// pointMeasurement is the measurement of one size.
type pointMeasurement struct {
	Measurement
	group        *Group
	figures      map[string]float64
	followers    float64
	heap, stacks float64 // before any follower ran
	idle         window
}

// measureStart starts all followers with empty disks, so that each receives a snapshot.
func (m *pointMeasurement) measureStart(ctx context.Context) error {
	g := m.group
	measured, err := g.measure(ctx, func() error {
		err := g.Fleet.Start(g.Fleet.members())
		if err != nil {
			return err
		}
		return g.waitEverywhere(ctx)
	})
	m.figures[StartTime] = measured.Seconds
	m.figures[StartProcessor] = milliseconds(measured.Processor) / m.followers
	m.figures[StartBytesIn] = measured.BytesIn / m.followers
	m.figures[StartDeferred] = measured.Deferred
	g.takePublished()
	g.Fleet.TakeApplied()
	return err
}

// measureIdle measures a time without changes.
func (m *pointMeasurement) measureIdle(ctx context.Context) (err error) {
	if m.IdleDuration == 0 {
		return nil
	}
	m.idle, err = m.group.measure(ctx, func() error { return waitUntil(ctx, time.Now().Add(m.IdleDuration)) })
	w := &m.idle
	m.figures[RestProcessor] = w.Processor / w.Seconds / m.followers
	m.figures[RestBytesIn] = w.BytesIn / w.Seconds / m.followers
	m.figures[RestBytesOut] = w.BytesOut / w.Seconds / m.followers
	m.figures[PublisherRestProcessor] = w.PublisherProcessor / w.Seconds
	m.figures[PublisherRestBytesOut] = w.PublisherBytesOut / w.Seconds
	return err
}

// beyondIdle returns by how much a figure of a window exceeds that of as much idle time.
func (m *pointMeasurement) beyondIdle(w *window, of func(w *window) float64) float64 {
	if m.IdleDuration == 0 {
		return of(w)
	}
	return of(w) - of(&m.idle)/m.idle.Seconds*w.Seconds
}

// measureSpaced measures changes one at a time.
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
	m.figures[PacedP50] = latency.P50
	m.figures[PacedP99] = latency.P99
	m.figures[PacedLatest] = latency.Max
	changes := float64(m.Changes)
	deltas, bytes := g.Fleet.countDeltas(histories)
	m.figures[ChangeDeltas] = deltas / changes / m.followers
	m.figures[ChangeBytes] = bytes / changes / m.followers
	m.figures[PublisherChangeBytes] = (measured.PublisherBytesOut - (measured.BytesIn - bytes)) / changes
	if m.ChangeInterval == 0 {
		return nil
	}
	m.figures[PacedProcessor] = measured.Processor / measured.Seconds / m.followers
	m.figures[PacedBytesIn] = measured.BytesIn / measured.Seconds / m.followers
	m.figures[PacedBytesOut] = measured.BytesOut / measured.Seconds / m.followers
	m.figures[PublisherPacedProcessor] = measured.PublisherProcessor / measured.Seconds
	ofFollowers := func(measured *window) float64 { return measured.Processor }
	ofPublishers := func(measured *window) float64 { return measured.PublisherProcessor }
	m.figures[ChangeProcessor] = milliseconds(m.beyondIdle(&measured, ofFollowers)) / changes / m.followers
	m.figures[PublisherChangeProcessor] = milliseconds(m.beyondIdle(&measured, ofPublishers)) / changes
	return nil
}

// measureBurst measures changes without a pause.
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
	m.figures[BurstP50] = latency.P50
	m.figures[BurstP99] = latency.P99
	m.figures[BurstLatest] = latency.Max
	m.figures[BurstSeconds] = measured.Seconds
	m.figures[BurstDeltas] = deltas / m.followers
	m.figures[BurstBytes] = measured.BytesIn / m.followers
	m.figures[BurstBytesIn] = measured.BytesIn / measured.Seconds / m.followers
	m.figures[BurstProcessor] = milliseconds(measured.Processor) / m.followers
	m.figures[PublisherBurstProcessor] = measured.PublisherProcessor
	m.figures[PublisherMemory] = measured.PublisherMemory
	return nil
}

// measureMemory measures the memory of the followers.
func (m *pointMeasurement) measureMemory() {
	heap, stacks := memory()
	m.figures[LiveHeap] = (heap - m.heap) / m.followers
	m.figures[Stacks] = (stacks - m.stacks) / m.followers
}

// countDeltas returns the number of deltas among what came in force, and their bytes on the wire.
func (f *Fleet) countDeltas(histories [][]AppliedVersion) (count, bytes float64) {
	for _, history := range histories {
		for i := range history {
			if history[i].Snapshot {
				continue
			}
			count++
			bytes += float64(f.frames.bytes(&history[i]))
		}
	}
	return count, bytes
}

func milliseconds(seconds float64) float64 { return seconds * 1e3 }

// ScalingSeries is points of several sizes with the fit of each figure.
type ScalingSeries struct {
	Points []*Point             `json:"points"`
	Fits   map[string]scale.Fit `json:"fits"`
}

// NewScalingSeries fits the figures of points by the number of followers. A figure that is not above zero everywhere has no
// fit.
func NewScalingSeries(points []*Point) ScalingSeries {
	axis := ScalingSeries{Points: points, Fits: map[string]scale.Fit{}}
	for _, metric := range Metrics() {
		var sizes, figures []float64
		for _, point := range points {
			figure, measured := point.Values[metric.Name]
			if measured {
				sizes = append(sizes, float64(point.Followers))
				figures = append(figures, figure)
			}
		}
		const fewest = 3
		if len(sizes) >= fewest && slices.Min(figures) > 0 {
			fit := scale.NewFit(sizes, figures, metric.Counted)
			fit.TopExponent = 0 // of use for sizes that grow by equal factors alone; infinite for some others
			axis.Fits[metric.Name] = fit
		}
	}
	return axis
}
