package gateway

// SettingsUpdate is a new version of the settings that may change while a gateway runs. It is applied between two
// batches: events of earlier batches are decided under the previous version. A quota plan or request class keeps
// its index for the life of the process; a new one takes the next index.
type SettingsUpdate struct {
	Plans   []PlanUpdate
	Classes []ClassUpdate
	Limits  *Limits // nil: unchanged
	Members int     // new Membership.Count; 0: unchanged
}

// PlanUpdate sets or removes the quota plan of an index. Requests on a removed plan are not admitted.
type PlanUpdate struct {
	Index   int
	Plan    Plan // if Removed, the last version of the plan
	Removed bool
}

// ClassUpdate sets the request class of an index. The removal of a class needs no update: no more requests of it
// arrive.
type ClassUpdate struct {
	Index int
	Class RequestClass
}
