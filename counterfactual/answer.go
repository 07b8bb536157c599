package counterfactual

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// Reasons for which a figure is refused.
const (
	ReasonNoOverlap                 = "no overlap"
	ReasonFewSamples                = "too few effective samples"
	ReasonFewCustomers              = "too few customers"
	ReasonGatewaysMissing           = "gateways missing"
	ReasonCensoredEarly             = "cut off too early"
	ReasonInconsistentProbabilities = "chances do not add up"
	ReasonLoadOutOfRange            = "load outside the range seen"
	ReasonLoadDependentRule         = "the rule follows the load"
	ReasonBeyondObjective           = "beyond the target"
	ReasonWideInterval              = "interval too wide"
)

// Values of Answer.Question.
const (
	questionMoved    = "one moved"
	questionReplaced = "replaced"
)

// Figure is an estimate with its interval, in milliseconds or, for a fraction, from 0 to 1.
type Figure struct {
	Value   float64     `json:"value"`
	Low     float64     `json:"low"`
	High    float64     `json:"high"`
	AnyTime *[2]float64 `json:"any_time,omitempty"` // of a mean: the interval that holds however often one looks
	Refused string      `json:"refused,omitempty"`  // reason; the other values are 0 then
}

// Answer is the estimate for a rule over the attempts of a request class in a range of bins.
type Answer struct {
	Question         string              `json:"question"`
	Rule             string              `json:"rule"`
	Class            string              `json:"frontend"`
	Host             string              `json:"host,omitempty"` // of OneHost
	HostNumber       uint32              `json:"-"`              // of OneHost
	Share            float64             `json:"part,omitempty"` // fraction of the attempts for which the rule chooses
	Estimator        Estimator           `json:"estimator,omitempty"`
	Refused          string              `json:"refused,omitempty"` // reason why there are no figures at all
	Attempts         float64             `json:"reqs"`              // attempts that the figures cover
	Coverage         float64             `json:"covers"`            // fraction of all attempts of the request class
	EffectiveSamples float64             `json:"effective"`
	CustomerGroups   int                 `json:"groups"`
	UnreachableShare float64             `json:"no_chance"` // fraction that could not have gone to the rule's host
	SparseShare      float64             `json:"lacking"`   // fraction at hosts and loads with too few outcomes
	Mean             Figure              `json:"mean_ms"`   // of the response time or the objective, whichever is less
	P50              Figure              `json:"p50_ms"`
	P99              Figure              `json:"p99_ms"`
	WithinObjective  Figure              `json:"within_target"`
	Regret           Figure              `json:"regret_ms"` // mean minus that of the best rule with a mean
	Missing          []IncompleteGateway `json:"missing,omitempty"`
	MissingShare     float64             `json:"missing_part"`

	mean  float64   // nanoseconds
	means []float64 // with each customer group left out in turn
}

// Available reports whether there is an estimate.
func (f *Figure) Available() bool { return f.Refused == "" }

// refuseFigures sets the reason of the answer's refusal for each figure.
func (a *Answer) refuseFigures() {
	for _, figure := range []*Figure{&a.Mean, &a.P50, &a.P99, &a.WithinObjective, &a.Regret} {
		figure.Refused = a.Refused
	}
}

// setRegrets compares the means with the least one, by pairs, so that errors common to both cancel out.
func setRegrets(answers []Answer) {
	var best *Answer
	for i := range answers {
		a := &answers[i]
		if a.Mean.Available() && (best == nil || a.mean < best.mean) {
			best = a
		}
	}
	for i := range answers {
		a := &answers[i]
		if !a.Mean.Available() {
			a.Regret = Figure{Refused: a.Mean.Refused}
			continue
		}
		difference, halfWidth := MeanDifference(a, best)
		a.Regret = Figure{
			Value: difference / nanosecondsPerMillisecond,
			Low:   max(difference-halfWidth, 0) / nanosecondsPerMillisecond,
			High:  (difference + halfWidth) / nanosecondsPerMillisecond,
		}
	}
}

// MeanDifference returns the difference of the means of a and b in nanoseconds, with the half width of its interval. Both
// are of one Panel, each with a mean.
func MeanDifference(a, b *Answer) (difference, halfWidth float64) {
	var differences []float64
	for i := range min(len(a.means), len(b.means)) {
		differences = append(differences, a.means[i]-b.means[i])
	}
	if len(differences) < 2 {
		return a.mean - b.mean, math.Inf(1)
	}
	variance := jackknife(differences) * 2 // doubled for the randomness of the requests' response times
	return a.mean - b.mean, studentQuantile(len(differences)) * math.Sqrt(variance)
}

// studentQuantile returns the quantile of Student's t distribution for an interval from a number of groups.
func studentQuantile(groups int) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(groups - 1)}.Quantile((1 + confidence) / 2)
}
