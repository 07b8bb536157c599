package gateway

// DecisionCount is the number of requests that a gateway has decided with one outcome since its start.
type DecisionCount struct {
	Outcome string // its name in log lines, such as "admitted"
	Count   int
}
