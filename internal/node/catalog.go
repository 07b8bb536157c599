package node

import (
	"ravensill/gateway"
	"ravensill/internal/clients"
	"ravensill/internal/config"
)

// newCatalogConfig returns the request classes, quota plans and members that clients may name in commands.
func newCatalogConfig(cfg *config.Config) clients.CatalogConfig {
	catalog := clients.CatalogConfig{
		Classes:  cfg.ClassNames,
		Effects:  make([]gateway.Effect, 0, len(cfg.Classes)),
		Plans:    cfg.PlanNames,
		MaxUnits: make([]float64, 0, len(cfg.Plans)),
		Members:  cfg.Membership.Count,
		OwnIndex: cfg.Membership.Index,
	}
	for i := range cfg.Classes {
		catalog.Effects = append(catalog.Effects, cfg.Classes[i].Effect)
	}
	for i := range cfg.Plans {
		catalog.MaxUnits = append(catalog.MaxUnits, maxUnits(&cfg.Plans[i]))
	}
	return catalog
}

// maxUnits returns the most units that one request on a quota plan may ask for; 0: unlimited.
func maxUnits(plan *gateway.Plan) float64 {
	if plan.Rate == 0 {
		return 0
	}
	return plan.Burst
}
