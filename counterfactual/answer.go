package counterfactual

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// Reasons for not giving an estimate. A value of Answer.Refused or Figure.Refused begins with one of them, and details
// may follow. The only other value is that of the Regret of a single host, which has none.
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
	questionMoved    = "one moved" // EstimateRules and EstimateSingleHost: a single attempt is moved at a time
	questionReplaced = "replaced"  // EstimateReplacement: the rule replaces that of the gateways
)

// Figure is an estimate with its confidence interval from Low to High. The unit is the millisecond, except for
// Answer.WithinObjective, which is a fraction from 0 to 1.
type Figure struct {
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
	// AnyTime is an interval that stays valid however often the estimate is read while attempts are added. Only
	// Answer.Mean has one.
	AnyTime *[2]float64 `json:"any_time,omitempty"`
	Refused string      `json:"refused,omitempty"` // reason why there is no estimate; all other fields are 0 then
}

// Answer is the estimate of the response times of a request class's attempts in a range of bins, had a rule chosen
// their hosts.
type Answer struct {
	Question   string    `json:"question"`
	Rule       string    `json:"rule"`
	Class      string    `json:"frontend"`
	Host       string    `json:"host,omitempty"` // id; only for OneHost
	HostNumber uint32    `json:"-"`              // only for OneHost
	Share      float64   `json:"part,omitempty"` // of a replacement: fraction of attempts for which the rule chooses
	Estimator  Estimator `json:"estimator,omitempty"`
	// Refused is the reason why all figures are refused, or empty. Single figures may be refused nevertheless.
	Refused          string  `json:"refused,omitempty"`
	Attempts         float64 `json:"reqs"`      // number of attempts that the figures cover
	Coverage         float64 `json:"covers"`    // fraction of the request class's attempts that the figures cover
	EffectiveSamples float64 `json:"effective"` // number of equally weighted outcomes that give the same variance
	CustomerGroups   int     `json:"groups"`    // number of groups with outcomes
	UnreachableShare float64 `json:"no_chance"` // fraction of Attempts that could not have gone to the rule's host
	SparseShare      float64 `json:"lacking"`   // fraction of Attempts at hosts and loads with too few outcomes
	Mean             Figure  `json:"mean_ms"`   // each response time is capped at the latency objective
	P50              Figure  `json:"p50_ms"`
	P99              Figure  `json:"p99_ms"`
	WithinObjective  Figure  `json:"within_target"`
	Regret           Figure  `json:"regret_ms"` // Mean minus the least Mean of the rules that were estimated together

	Missing      []IncompleteGateway `json:"missing,omitempty"`
	MissingShare float64             `json:"missing_part"` // estimated fraction of all attempts that is not reported

	meanNanoseconds  float64   // Mean.Value before its conversion to milliseconds
	leaveOneOutMeans []float64 // means in nanoseconds, one with each customer group left out
}

// Available reports whether the figure was estimated, that is, not refused.
func (f *Figure) Available() bool { return f.Refused == "" }

// refuseFigures copies the answer's reason for refusal to each of its figures.
func (a *Answer) refuseFigures() {
	for _, figure := range []*Figure{&a.Mean, &a.P50, &a.P99, &a.WithinObjective, &a.Regret} {
		figure.Refused = a.Refused
	}
}

// setRegrets sets each answer's regret: the difference between its mean and the least mean of all answers. The interval
// is computed from paired leave-one-out means, so that errors common to both rules cancel out.
func setRegrets(answers []Answer) {
	var best *Answer
	for i := range answers {
		a := &answers[i]
		if a.Mean.Available() && (best == nil || a.meanNanoseconds < best.meanNanoseconds) {
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

// MeanDifference returns the mean of a minus that of b in nanoseconds, with the half width of its confidence interval:
// infinity if there are fewer than two leave-one-out means. Both answers must be results of the same call of
// Ledger.EstimateRules and have a mean.
func MeanDifference(a, b *Answer) (difference, halfWidth float64) {
	var differences []float64
	for i := range min(len(a.leaveOneOutMeans), len(b.leaveOneOutMeans)) {
		differences = append(differences, a.leaveOneOutMeans[i]-b.leaveOneOutMeans[i])
	}
	if len(differences) < 2 {
		return a.meanNanoseconds - b.meanNanoseconds, math.Inf(1)
	}
	variance := jackknife(differences) * 2 // doubled to allow for the randomness of the requests' response times
	return a.meanNanoseconds - b.meanNanoseconds, studentTQuantile(len(differences)) * math.Sqrt(variance)
}

// studentTQuantile returns the factor on the standard error of a two-sided interval at confidenceLevel whose variance
// was estimated from a number of groups: a quantile of Student's t distribution with groups-1 degrees of freedom.
func studentTQuantile(groups int) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(groups - 1)}.Quantile((1 + confidenceLevel) / 2)
}
