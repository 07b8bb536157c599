package emulator

import (
	"fmt"
	"testing"
	"time"

	"ravensill/internal/golden"
)

// A response time depends on id, load and slowdown alone, so it is known for requests that a host never received too.
func TestModelResponseTimeFollowsFromRequestAndLoad(t *testing.T) {
	model := DefaultModel()
	model.WarmUpFactor = 3
	model.WarmUpTime = 10 * time.Second
	model.ClassFactors = map[string]float64{"order": 2}
	var text string
	for _, request := range []struct {
		id, class          string
		inFlight, slowdown float64
	}{
		{"a", "lookup", 0, 1},
		{"a", "lookup", 4, 1},
		{"a", "lookup", 12, 1},
		{"a", "lookup", 12, 2},
		{"a", "order", 0, 1},
		{"b", "lookup", 0, 1},
	} {
		responseTime := model.ResponseTime(request.id, request.class, request.inFlight, request.slowdown)
		text += fmt.Sprint(request, " ", responseTime, "\n")
	}
	for _, age := range []time.Duration{0, 5 * time.Second, 20 * time.Second} {
		text += fmt.Sprint("slower at age ", age, ": ", model.warmUpFactor(age), "\n")
	}
	const draws = 20000
	mean := 0.0
	for i := range draws {
		mean += float64(model.ResponseTime(fmt.Sprint(i), "lookup", 0, 1)) / draws / float64(model.BaseTime)
	}
	text += fmt.Sprintf("mean of %d: %.2f\n", draws, mean)
	log := HostLog{LoadSteps: []LoadStep{{At: 10, InFlight: 12, Slowdown: 2}, {At: 20, Slowdown: 1}}}
	for _, at := range []int64{5, 15, 25} {
		responseTime, inFlight, ok := log.ResponseTimeAt(model, "a", "lookup", at)
		text += fmt.Sprint("at ", at, ": ", responseTime, " ", inFlight, " ", ok, "\n")
	}
	golden.Check(t, text)
}
