package publisher

// TakeSnapshot has the replica's state written to its disk now.
func (p *Publisher) TakeSnapshot() error { return p.replica.Snapshot() }
