package conf

import (
	"encoding/json"
	"errors"
	"fmt"

	"verbenabank/core/clock"
	"verbenabank/vload/state/plan"
	"verbenabank/vload/state/server"
)

// fault is the form of plan.Fault in files; exactly one action is set. With a
// stagger the processes are acted on one after the other.
type fault struct {
	AtMs      clock.Millis `json:"at_ms"`
	Of        []string     `json:"of"`
	StaggerMs clock.Millis `json:"stagger_ms"`

	Kill    *struct{} `json:"kill"`
	Start   *struct{} `json:"start"`
	Restart *struct{} `json:"restart"`
	Leave   *struct{} `json:"leave"`
	Freeze  *struct {
		ForMs clock.Millis `json:"for_ms"`
	} `json:"freeze"`
	Slow *struct {
		Factor float64      `json:"factor"`
		ForMs  clock.Millis `json:"for_ms"`
	} `json:"slow"`
	Lie *struct {
		Claim  string       `json:"claim"`
		Factor float64      `json:"factor"`
		ForMs  clock.Millis `json:"for_ms"`
	} `json:"lie"`
	Replace *replace `json:"replace"`
}

// replace is one or more replacements of a file, each with the next version.
type replace struct {
	File         string         `json:"file"`
	Content      map[string]any `json:"content"`
	FirstVersion uint64         `json:"first_version"`
	Times        int            `json:"times"`
	EveryMs      clock.Millis   `json:"every_ms"`
}

func (f fault) decode() ([]plan.Fault, error) {
	actions, err := f.actions()
	if err != nil {
		return nil, err
	}
	if len(actions) != 1 && f.Replace == nil {
		return nil, fail("decode", Invalid, errors.New("a fault needs exactly one action"))
	}
	var faults []plan.Fault
	if f.Replace != nil {
		for n, a := range actions {
			faults = append(faults, plan.NewFault(f.AtMs+clock.Millis(n)*f.Replace.EveryMs, nil, a))
		}
		return faults, nil
	}
	if f.StaggerMs == 0 {
		return []plan.Fault{plan.NewFault(f.AtMs, f.Of, actions[0])}, nil
	}
	for n, name := range f.Of {
		faults = append(faults, plan.NewFault(f.AtMs+clock.Millis(n)*f.StaggerMs, []string{name}, actions[0]))
	}
	return faults, nil
}

func (f fault) actions() ([]plan.Action, error) {
	var actions []plan.Action
	if f.Kill != nil {
		actions = append(actions, plan.Kill{})
	}
	if f.Start != nil {
		actions = append(actions, plan.Start{})
	}
	if f.Restart != nil {
		actions = append(actions, plan.Restart{})
	}
	if f.Leave != nil {
		actions = append(actions, plan.Leave{})
	}
	if f.Freeze != nil {
		actions = append(actions, plan.NewFreeze(f.Freeze.ForMs))
	}
	if f.Slow != nil {
		actions = append(actions, plan.NewTune(server.NewTuning(f.Slow.Factor, server.Truthful{}), f.Slow.ForMs))
	}
	if f.Lie != nil {
		honesty, err := decodeClaim(f.Lie.Claim)
		if err != nil {
			return nil, err
		}
		actions = append(actions, plan.NewTune(server.NewTuning(max(f.Lie.Factor, 1), honesty), f.Lie.ForMs))
	}
	if f.Replace == nil {
		return actions, nil
	}
	replacements, err := f.Replace.actions()
	return append(actions, replacements...), err
}

func decodeClaim(name string) (server.ReportMode, error) {
	switch name {
	case "well":
		return server.AlwaysHealthy{}, nil
	case "ill":
		return server.AlwaysUnhealthy{}, nil
	}
	return nil, fail("decode", Invalid, fmt.Errorf("claim %q is not well or ill", name))
}

func (r replace) actions() ([]plan.Action, error) {
	var actions []plan.Action
	for n := range max(r.Times, 1) {
		if r.FirstVersion > 0 {
			r.Content["version"] = r.FirstVersion + uint64(n)
		}
		text, err := json.MarshalIndent(r.Content, "", "  ")
		if err != nil {
			return nil, fail("decode", Invalid, err)
		}
		actions = append(actions, plan.NewReplace(r.File, text))
	}
	return actions, nil
}
