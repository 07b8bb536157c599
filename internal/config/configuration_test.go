package config

import (
	"fmt"
	"strings"
	"testing"

	"ravensill/configsync"
	"ravensill/internal/golden"
)

// Quota plans get an ID if the file has the section, and only then.
func TestConfigurationSectionIdentifiesPlans(t *testing.T) {
	cfg, err := loadText(t, fleetFile, nil)
	if err != nil {
		t.Fatal(err)
	}
	if id := cfg.Plans[0].ID; id != configsync.PlanID("gold") {
		t.Errorf("plan ID %x is not that of the name gold", id)
	}
	cfg, err = loadText(t, validFile, nil)
	if err != nil || cfg.Configuration != nil || cfg.Plans[0].ID != 0 {
		t.Errorf("without the section: %+v, %v", cfg, err)
	}
}

func TestConfigurationSectionErrorsNameKey(t *testing.T) {
	cfg, err := loadText(t, fleetFile, nil)
	if err != nil {
		t.Fatal(err)
	}
	values := fmt.Sprintf("%+v\n", *cfg.Configuration)
	first, second := collidingNames()
	hideNames := strings.NewReplacer(first, "FIRST", second, "SECOND")
	const counterfactual = `"counterfactual":{"listen":"10.0.0.4:7947",` +
		`"peers":["10.3.0.1:7947","10.3.0.2:7947"],"collectors":[0]}`
	rejections := loadErrors(t, fleetFile, []replacement{
		{`"publishers"`, `"publisher"`},
		{`["10.5.0.1:7500"]`, `[]`},
		{`["10.5.0.1:7500"]`, `"10.5.0.1:7500"`},
		{`"10.5.0.1:7500"`, `"10.5.0.1:7500","10.5.0.1"`},
		{`"10.5.0.1:7500"`, `"10.5.0.1:7500","10.5.0.1:7500"`},
		{`"10.5.0.1:7500"`, strings.Repeat(`"10.5.0.1:7500",`, 7) + `"10.5.0.1:7500"`},
		{`"/var/lib/ravensill"`, `""`},
		{`"dir"`, `"folder"`},
		{`{"publishers":["10.5.0.1:7500"],"dir":"/var/lib/ravensill"}`, `7`},
		{`"10.3.0.2:7946"`, `"10.3.0.1:7946"`},
		{`{"name":"gold"`, fmt.Sprintf(`{"name":"%s"},{"name":"%s"`, first, second)},
		{`{"name":"lookup"`, `{"name":"lookup","hard_limit_us":1},{"name":"lookup"`},
		{`"settings"`, counterfactual + `,"settings"`},
	})
	golden.Check(t, values+hideNames.Replace(rejections))
}
