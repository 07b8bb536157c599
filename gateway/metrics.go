package gateway

// DecisionCount is how many requests a gateway has decided with one outcome since its start.
type DecisionCount struct {
	Outcome string // as log lines name it
	Count   int
}
