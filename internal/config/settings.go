// Package config reads, checks and completes the configuration of a gateway and of a publisher. Errors name the faulty
// key.
package config

import (
	"fmt"
	"time"

	"ravensill/gateway"
)

// Settings are the settings that all gateways of a deployment share.
type Settings struct {
	Membership gateway.Membership
	Classes    []gateway.RequestClass
	Plans      []gateway.Plan
	Limits     gateway.Limits
	SlowStart  gateway.SlowStart
	LoadReport gateway.LoadReportFormat

	ClassNames  []string // by index in Classes
	PlanNames   []string // by index in Plans
	ReportNames []string // by index in LoadReport.Fields
	Zones       []string // by zone index
	Machines    []string // machine types by index

	ConnIdle       time.Duration // of connections to hosts
	ConnectTimeout time.Duration // of connections to hosts

	// EqualWeights is set where the weights of the endpoint list are momentary figures, which say nothing of a host's
	// size: each host counts as 1.
	EqualWeights bool

	Adjusted []Adjustment
}

// DecodeSettings reads the settings object.
func DecodeSettings(text string) (*Settings, error) {
	reader, err := newObjectReader("", text)
	if err != nil {
		return nil, err
	}
	return reader.settings()
}

// settings reads the object as the settings.
func (r *objectReader) settings() (*Settings, error) {
	s := &Settings{}
	r.each("profiles", func(item *objectReader) {
		class, name := item.requestClass()
		s.Classes = append(s.Classes, class)
		s.ClassNames = append(s.ClassNames, name)
	})
	var ofPlans []Adjustment
	r.each("plans", func(item *objectReader) {
		plan, name, adjusted := item.plan()
		s.Plans = append(s.Plans, plan)
		s.PlanNames = append(s.PlanNames, name)
		ofPlans = append(ofPlans, adjusted...)
	})
	s.Membership = r.membership()
	s.Limits = r.limits()
	s.SlowStart = r.slowStart()
	s.ReportNames = r.texts("report.names")
	s.LoadReport = r.loadReport(s.ReportNames)
	s.Zones = r.texts("zones")
	s.Machines = r.texts("skus")
	s.EqualWeights = r.word("weights", "off", "nominal", "rough", "live") == "live"
	s.ConnIdle = r.microseconds("limits.conn_idle_us")
	s.ConnectTimeout = r.microseconds("limits.connect_timeout_us")
	if s.Membership.Count < 1 || s.Membership.Index >= s.Membership.Count {
		r.fail("position", fmt.Errorf("%d is not below balancers", s.Membership.Index))
	}
	s.resolve(r, ofPlans)
	return s, r.err
}

func (r *objectReader) membership() gateway.Membership {
	return gateway.Membership{
		Index:       r.integer("position"),
		Count:       r.integer("balancers"),
		Zone:        r.integer("locality"),
		Gossip:      r.boolean("limits.peer_messages"),
		MessageRate: r.number("family_info.mail_per_s"),
	}
}

func (r *objectReader) limits() gateway.Limits {
	return gateway.Limits{
		MaxAttempts:    r.integer("limits.max_attempts"),
		Hedging:        r.boolean("limits.parallel_tries"),
		Cancellation:   r.boolean("limits.cancelling"),
		Probes:         r.boolean("limits.probes"),
		RetryAfter:     r.boolean("limits.retry_after"),
		MaxRetryAfter:  r.microseconds("limits.max_retry_after_us"),
		PollEndpoints:  r.word("membership_mode", "pushed", "on_request") == "on_request",
		SettlesUnits:   r.boolean("family_info.settles"),
		SharedCounter:  r.boolean("family_info.shared_counter"),
		CounterTimeout: r.microseconds("family_info.count_wait_us"),
	}
}

func (r *objectReader) slowStart() gateway.SlowStart {
	return gateway.SlowStart{
		InitialFraction: r.number("rules.start_capacity"),
		Duration:        r.microseconds("rules.warm_up_us"),
		OverloadFactor:  r.number("rules.fall_multiple"),
		OverloadWindow:  r.microseconds("rules.fall_us"),
	}
}

func (r *objectReader) loadReport(names []string) gateway.LoadReportFormat {
	how := r.word("report.how", "off", "inline", "on_probe")
	form := gateway.LoadReportFormat{WithAnswers: how == "inline", WithProbes: how == "on_probe"}
	for _, name := range names {
		form.Fields = append(form.Fields, loadField(name))
	}
	return form
}

// loadFields are the fields of a load report by the names that settings have for them.
var loadFields = map[string]gateway.LoadField{
	"outstanding":  gateway.OutstandingRequests,
	"backlog":      gateway.QueuedRequests,
	"utilization":  gateway.Utilization,
	"recent_ms":    gateway.RecentServiceTime,
	"throughput":   gateway.Throughput,
	"errors_per_s": gateway.ErrorRate,
}

func loadField(name string) gateway.LoadField {
	if field, known := loadFields[name]; known {
		return field
	}
	return gateway.OtherField
}
