package consensus

import (
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

const (
	announceInterval = 300 * time.Millisecond
	announcementLife = 5 * announceInterval // an announcement older than that no longer counts
	changeTimeout    = 5 * time.Second      // of one change of the membership
	announcementRoom = 64                   // announcements that wait to be handled; more are dropped
)

// Announcement is what a replica without anything on its disk tells the others, until it has something.
type Announcement struct {
	Index int    `json:"v"`
	ID    string `json:"i"`
}

type heardAnnouncement struct {
	id string
	at time.Time
}

// membership founds the group and takes back replicas that lost their disk. Its fields belong to its goroutine.
type membership struct {
	replica   *Replica
	heard     map[int]heardAnnouncement
	announced chan Announcement
	done      chan struct{}
	ended     chan struct{}
}

func newMembership(r *Replica) *membership {
	return &membership{
		replica:   r,
		heard:     map[int]heardAnnouncement{},
		announced: make(chan Announcement, announcementRoom),
		done:      make(chan struct{}),
		ended:     make(chan struct{}),
	}
}

// close ends the goroutine. The library has to be shut down by then, so that no change of the membership is waited for.
func (m *membership) close() {
	close(m.done)
	<-m.ended
}

// hear takes in an announcement from any goroutine. One that finds no room is said again by its sender.
func (m *membership) hear(a Announcement) {
	select {
	case m.announced <- a:
	default:
	}
}

func (m *membership) run() {
	defer close(m.ended)
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case a := <-m.announced:
			m.handle(a)
		case <-ticker.C:
			m.tick()
		case <-m.done:
			return
		}
	}
}

func (m *membership) handle(a Announcement) {
	cfg := &m.replica.cfg
	known := a.Index >= 0 && a.Index < len(cfg.Addresses) && a.Index != cfg.Index
	if !known || IndexOf(raft.ServerID(a.ID)) != a.Index {
		m.replica.dropped.Add(1)
		return
	}
	m.heard[a.Index] = heardAnnouncement{a.ID, time.Now()}
	if m.replica.Leads() {
		m.replace(a)
	}
}

// tick announces this replica while it has nothing on disk. The first replica founds the group once all are there and all
// have nothing: then no earlier group can have agreed on anything.
func (m *membership) tick() {
	if m.replica.raft.LastIndex() > 0 {
		return
	}
	cfg := &m.replica.cfg
	own := Announcement{cfg.Index, string(m.replica.id)}
	for i := range cfg.Addresses {
		if i != cfg.Index {
			go m.replica.transport.announce(i, own)
		}
	}
	if cfg.Index == 0 {
		m.found()
	}
}

func (m *membership) found() {
	cfg := &m.replica.cfg
	servers := []raft.Server{server(m.replica.id)}
	for i := 1; i < len(cfg.Addresses); i++ {
		a, ok := m.heard[i]
		if ok && time.Since(a.at) < announcementLife {
			servers = append(servers, server(raft.ServerID(a.id)))
		}
	}
	if len(servers) < len(cfg.Addresses) {
		return
	}
	err := m.replica.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
	if err != nil {
		slog.Warn("raft_cluster_bootstrap_failed", "cluster", cfg.Name, "voters", len(servers), "error", err)
		return
	}
	slog.Info("raft_cluster_bootstrapped", "cluster", cfg.Name, "voters", len(servers))
}

func server(id raft.ServerID) raft.Server {
	return raft.Server{Suffrage: raft.Voter, ID: id, Address: raft.ServerAddress(id)}
}

// replace removes what a replica was before it lost its disk, and adds it anew.
func (m *membership) replace(a Announcement) {
	future := m.replica.raft.GetConfiguration()
	if future.Error() != nil {
		return
	}
	former := raft.ServerID("")
	for _, s := range future.Configuration().Servers {
		if string(s.ID) == a.ID {
			return
		}
		if IndexOf(s.ID) == a.Index {
			former = s.ID
		}
	}
	var err error
	if former != "" {
		err = m.replica.raft.RemoveServer(former, 0, changeTimeout).Error()
	}
	if err == nil {
		s := server(raft.ServerID(a.ID))
		err = m.replica.raft.AddVoter(s.ID, s.Address, 0, changeTimeout).Error()
	}
	if err != nil {
		slog.Warn("raft_voter_replacement_failed", "cluster", m.replica.cfg.Name, "voter", a.Index, "error", err)
		return
	}
	slog.Info("raft_voter_replaced", "cluster", m.replica.cfg.Name, "voter", a.Index)
}
