package hollow

import (
	"slices"
	"testing"
)

// newTestSeries returns a series without violations, after change has been applied to each point.
func newTestSeries(sizes []int, change func(point *Point)) ScalingSeries {
	var points []*Point
	for _, followers := range sizes {
		point := &Point{Followers: followers, Values: map[string]float64{
			ChangeDeltas:         1,
			ChangeBytes:          169,
			StartBytesIn:         9500,
			PublisherChangeBytes: 169 * float64(followers),
		}}
		change(point)
		points = append(points, point)
	}
	return NewScalingSeries(points)
}

// Each metric that grows in the wrong way with the number of followers must be a violation, and so must each violation
// of a single point.
func TestAxisFindsFiguresThatGrow(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(point *Point)
		want   []string
	}{
		{"no violation", func(*Point) {}, nil},
		{"bytes that grow with the fleet", func(p *Point) { p.Values[ChangeBytes] += float64(p.Followers) / 10 },
			[]string{"change_bytes is 171.5 to 209, depending on the number of followers"}},
		{"publishers' bytes that are quadratic", func(p *Point) { p.Values[PublisherChangeBytes] *= float64(p.Followers) },
			[]string{"publisher_change_bytes grows with the number of followers to the power 2.00"}},
		{"two deltas per change", func(p *Point) { p.Values[ChangeDeltas] = max(1, float64(p.Followers)/200) },
			[]string{"400 followers: 2 deltas a change"}},
		{"a violation of one point",
			func(p *Point) { p.Violations = map[int][]string{50: {"g1: version 1 after 2"}}[p.Followers] },
			[]string{"g1: version 1 after 2"}},
	} {
		axis := newTestSeries([]int{25, 50, 100, 200, 400}, test.change)
		got := axis.Violations()
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
	}
}

// A report must be readable after it has been written, with the sizes of the full measurement too. Values that JSON
// cannot hold, such as an infinite exponent of a fit, would break it.
func TestReportIsReadBack(t *testing.T) {
	dir := t.TempDir()
	report, err := NewReport(dir)
	if err != nil {
		t.Fatal(err)
	}
	report.BeginPart("followers", "command")
	report.ByFollowers = newTestSeries([]int{375, 1000, 2000, 4000, 6000}, func(*Point) {})
	report.EndPart("followers", &logEvents)
	err = report.Write(dir)
	if err != nil {
		t.Fatal(err)
	}
	again, err := NewReport(dir)
	if err != nil || len(again.ByFollowers.Points) != 5 || again.Runs["followers"].Command != "command" {
		t.Errorf("%+v, %v", again, err)
	}
}
