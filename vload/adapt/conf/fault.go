package conf

import (
	"encoding/json"
	"errors"
	"fmt"

	"verbenabank/core/clock"
	"verbenabank/vload/state/plan"
	"verbenabank/vload/state/server"
)

// fault is the JSON form of plan.Fault. Exactly one action must be set. With a stagger
// the action is applied to the processes one after the other, StaggerMs apart.
type fault struct {
	AtMs      clock.Millis `json:"at_ms"`
	Processes []string     `json:"of"`
	StaggerMs clock.Millis `json:"stagger_ms"`

	Kill    *struct{} `json:"kill"`
	Start   *struct{} `json:"start"`
	Restart *struct{} `json:"restart"`
	Leave   *struct{} `json:"leave"`
	Freeze  *struct {
		ForMs clock.Millis `json:"for_ms"`
	} `json:"freeze"`
	Slowdown *struct {
		Factor float64      `json:"factor"`
		ForMs  clock.Millis `json:"for_ms"`
	} `json:"slow"`
	FalseReports *struct {
		Claim  string       `json:"claim"`
		Factor float64      `json:"factor"`
		ForMs  clock.Millis `json:"for_ms"`
	} `json:"lie"`
	Replace *replacement `json:"replace"`
}

// replacement replaces a configuration file Times times, EveryMs apart. If
// FirstVersion is set, each replacement has the next version number.
type replacement struct {
	File         string         `json:"file"`
	Content      map[string]any `json:"content"`
	FirstVersion uint64         `json:"first_version"`
	Times        int            `json:"times"`
	EveryMs      clock.Millis   `json:"every_ms"`
}

func (f fault) decode() ([]plan.Fault, error) {
	actions, err := f.decodeActions()
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
		return []plan.Fault{plan.NewFault(f.AtMs, f.Processes, actions[0])}, nil
	}
	for n, name := range f.Processes {
		faults = append(faults, plan.NewFault(f.AtMs+clock.Millis(n)*f.StaggerMs, []string{name}, actions[0]))
	}
	return faults, nil
}

func (f fault) decodeActions() ([]plan.Action, error) {
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
	if f.Slowdown != nil {
		actions = append(actions, plan.NewTune(server.NewTuning(f.Slowdown.Factor, server.Truthful{}), f.Slowdown.ForMs))
	}
	if f.FalseReports != nil {
		mode, err := decodeReportMode(f.FalseReports.Claim)
		if err != nil {
			return nil, err
		}
		actions = append(actions, plan.NewTune(server.NewTuning(max(f.FalseReports.Factor, 1), mode), f.FalseReports.ForMs))
	}
	if f.Replace == nil {
		return actions, nil
	}
	replacements, err := f.Replace.decode()
	return append(actions, replacements...), err
}

func decodeReportMode(name string) (server.ReportMode, error) {
	switch name {
	case "well":
		return server.AlwaysHealthy{}, nil
	case "ill":
		return server.AlwaysUnhealthy{}, nil
	}
	return nil, fail("decode", Invalid, fmt.Errorf("claim %q is not well or ill", name))
}

func (r replacement) decode() ([]plan.Action, error) {
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
