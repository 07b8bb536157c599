package scale

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"
)

// smallAxes returns the axes at the sizes of CI.
func smallAxes() []Axis {
	few := []float64{16, 64, 256, 1024}
	rates := []float64{0.5, 2, 8, 32}
	hosts := []float64{128, 512, 2048, 8192}
	sizes := map[string][]float64{
		"gateways":                            {5, 20, 80, 320},
		"hosts":                               hosts,
		"hosts before a fleet of 6000":        hosts,
		"services":                            {4, 16, 64, 256},
		"quota plans":                         few,
		"request classes":                     few,
		"customers":                           {32, 128, 512, 2048},
		"requests a second":                   {4, 16, 64, 256},
		"membership changes a second":         rates,
		"configuration changes a second":      rates,
		"live configuration changes a second": rates,
		"live quota plans":                    few,
		"restarts a second":                   rates,
		"gateways restarted at once":          {1, 2, 4, 8},
	}
	var axes []Axis
	for _, axis := range Axes() {
		axis.Sizes = sizes[axis.Name]
		axis.Durations = Durations{Settle: time.Second, Idle: 2 * time.Second, Load: 2 * time.Second}
		axis.Base.Gateways = min(max(axis.Base.Gateways, 4), 8)
		axis.Base.Hosts = min(axis.Base.Hosts, 128)
		axes = append(axes, axis)
	}
	return axes
}

// smallAxis returns one axis at the sizes of CI.
func smallAxis(t *testing.T, name string) Axis {
	t.Helper()
	for _, axis := range smallAxes() {
		if axis.Name == name {
			return axis
		}
	}
	t.Fatalf("no axis %q", name)
	return Axis{}
}

// No figure of a gateway grows faster than linear with any size, and none receives more messages than gateways may.
// Verdicts are by counts and bytes.
func TestFiguresGrowAtMostLinearly(t *testing.T) {
	for _, axis := range smallAxes() {
		t.Run(axis.Name, func(t *testing.T) {
			growth, err := axis.Run(time.Minute, Options{Seed: 1})
			if err != nil {
				t.Fatal(err)
			}
			if len(growth.Fits) == 0 {
				t.Error("nothing was measured")
			}
			for _, violation := range growth.Violations() {
				t.Error(violation)
			}
		})
	}
}

// The processor time of a start grows at most linearly with the sizes of the configuration and of the host list.
func TestStartTimeGrowsAtMostLinearly(t *testing.T) {
	for name, sizes := range map[string][]float64{
		"hosts":           {512, 2048, 8192, 32768},
		"quota plans":     {128, 512, 2048, 8192, 32768},
		"request classes": {128, 512, 2048, 8192, 32768},
	} {
		t.Run(name, func(t *testing.T) {
			axis := smallAxis(t, name)
			axis.Sizes = sizes
			axis.Durations = Durations{Idle: tickInterval, Load: tickInterval}
			axis.Base.Gateways = 5 // the least of five starts counts
			axis.Base.Customers = 0
			growth, err := axis.Run(10*time.Second, Options{Seed: 1})
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range growth.StartViolations() {
				t.Error(violation)
			}
		})
	}
}

// Work that makes one figure of a gateway quadratic in the size of an axis is found.
func TestAddedQuadraticWorkIsFound(t *testing.T) {
	var retained [][]byte
	for _, test := range []struct {
		axis   string
		metric string
		sizes  int // of the axis that it takes to find it
		sizeOf func(d *Deployment) int
		add    func(size int, kind WorkKind, h *HollowGateway)
	}{
		{"gateways", LoadMessages, 3, func(d *Deployment) int { return d.Gateways }, func(size int, kind WorkKind, h *HollowGateway) {
			if kind == WorkTimer {
				h.MessagesOut += size * size
			}
		}},
		{"hosts", LiveHeap, 4, func(d *Deployment) int { return d.Hosts }, func(size int, kind WorkKind, h *HollowGateway) {
			if kind == WorkStart {
				retained = append(retained, make([]byte, size*size/4))
			}
		}},
		{"customers", LoadAllocated, 4, func(d *Deployment) int { return d.Customers }, func(size int, kind WorkKind, h *HollowGateway) {
			if kind == WorkRequest {
				retained = append(retained[:0], make([]byte, size*size/16))
			}
		}},
		{"request classes", StartCPU, 4, func(d *Deployment) int { return d.Classes }, func(size int, kind WorkKind, h *HollowGateway) {
			for i := 0; kind == WorkStart && i < size*size*4; i++ {
				h.wakeAt += int64(i & 1)
				h.wakeAt -= int64(i & 1)
			}
		}},
	} {
		axis := smallAxis(t, test.axis)
		axis.Sizes = axis.Sizes[:test.sizes]
		set := axis.Set
		size := 0
		axis.Set = func(d *Deployment, value float64) {
			set(d, value)
			size = test.sizeOf(d)
			retained = nil
		}
		addedWork := func(kind WorkKind, h *HollowGateway) { test.add(size, kind, h) }
		growth, err := axis.Run(time.Minute, Options{Seed: 1, AddedWork: addedWork})
		if err != nil {
			t.Fatal(err)
		}
		violations := strings.Join(append(growth.Violations(), growth.StartViolations()...), "\n")
		if !strings.Contains(violations, test.metric) {
			t.Errorf("%s added along %s was not found: %v", test.metric, test.axis, growth.Fits[test.metric])
		}
	}
}

// Hollow gateways send what real ones send, in one fleet, and use about as much memory.
func TestHollowGatewaysMatchRealOnes(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	comparison := Comparison{
		Gateways:    [kinds]int{4, 4, 100},
		Hosts:       4,
		Customers:   40,
		Rate:        15,
		Seed:        2,
		MinMessages: 3000,
	}
	result, err := comparison.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range result.rows() {
		for _, hollow := range []GatewayKind{HollowOwnProcess, HollowSharedProcess} {
			ratio := row.figures[Real] / row.figures[hollow]
			t.Logf("%s: real %.4g, %v %.4g, ratio %.2f", row.name, row.figures[Real], hollow, row.figures[hollow], ratio)
			// No verdict by time. What real ones received is a difference of large numbers read one after another.
			if strings.Contains(row.name, "processor") || strings.Contains(row.name, "messages in") {
				continue
			}
			maxRatio := 1.25
			if strings.Contains(row.name, "heap") { // a real gateway has buffers and records of its sockets too
				maxRatio = 1.6
			}
			if ratio > maxRatio || ratio < 0.8 {
				t.Errorf("%s: real %.4g, %v %.4g", row.name, row.figures[Real], hollow, row.figures[hollow])
			}
		}
	}
}

// A fit finds the form of the growth, whatever the constant part.
func TestFitFindsForm(t *testing.T) {
	sizes := []float64{10, 40, 160, 320, 2560}
	for _, test := range []struct {
		form  Form
		top   float64
		of    func(size float64) float64
		bends bool
	}{
		{Constant, 0, func(size float64) float64 { return 7 }, false},
		{Logarithmic, 0, func(size float64) float64 { return math.Log(size) }, false},
		{SquareRoot, 0.5, func(size float64) float64 { return 9 + math.Sqrt(size) }, false},
		{Linear, 1, func(size float64) float64 { return 100 + 3*size }, false},
		{Quadratic, 2, func(size float64) float64 { return 1e5 + size*size }, false},
		{Quadratic, 3, func(size float64) float64 { return 1 + size*size*size }, true},
	} {
		var figures []float64
		for _, size := range sizes {
			figures = append(figures, test.of(size))
		}
		fit := NewFit(sizes, figures, true)
		topOff := math.Abs(fit.TopExponent - test.top)
		if fit.Form != test.form || topOff > 0.05 || fit.NoFormFits != test.bends {
			t.Errorf("%s: %+v", test.form, fit)
		}
	}
}

// The same seed causes the same messages, to the byte.
func TestSameSeedSendsSameBytes(t *testing.T) {
	lengths := Durations{Settle: time.Second, Idle: time.Second, Load: 2 * time.Second}
	var runs [2]Figures
	for i := range runs {
		var err error
		runs[i], err = Measure(baseDeployment, lengths, Options{Seed: 3})
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{
		RestBytes,
		KnownBytes,
		LoadMessages,
		LoadBytes,
		LoadMessagesIn,
		CustomersKnown,
		RejectedFraction,
	} {
		if runs[0][name] != runs[1][name] || runs[0][LoadBytes] == 0 {
			t.Errorf("%s: %v, then %v", name, runs[0][name], runs[1][name])
		}
	}
}
