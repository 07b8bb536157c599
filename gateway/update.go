package gateway

// SettingsUpdate is a new version of those settings that may change while a gateway runs. It is applied between two
// batches: what came in before is decided under the old version. An index keeps its quota plan or request class
// for the life of the process; a new one takes the next index.
type SettingsUpdate struct {
	Plans   []PlanUpdate
	Classes []ClassUpdate
	Limits  *Limits // nil: unchanged
	Members int     // gateways of the fleet from now on, Membership.Count; 0: unchanged
}

// PlanUpdate sets or removes the quota plan of an index. A removed plan admits nothing more.
type PlanUpdate struct {
	Index   int
	Plan    Plan // as it was last, if it is removed
	Removed bool
}

// ClassUpdate sets the request class of an index. One that is removed gets no more requests and needs no update.
type ClassUpdate struct {
	Index int
	Class RequestClass
}
