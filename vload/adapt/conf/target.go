package conf

import "verbenabank/vload/state/server"

// target is the JSON form of server.Settings.
type target struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Listen   string `json:"listen"`
	Admin    string `json:"admin,omitempty"`
	Ledger   string `json:"ledger"`
	behavior
}

// ReadTarget reads the settings of a target in the file at path.
func ReadTarget(path string) (server.Settings, error) {
	var t target
	if err := loadFile(path, &t); err != nil {
		return server.Settings{}, err
	}
	b, err := t.decode()
	if err != nil {
		return server.Settings{}, err
	}
	return server.NewSettings(t.Instance, t.Service, t.Listen, t.Admin, t.Ledger, b), nil
}

// WriteTarget writes the settings of a target to the file at path.
func WriteTarget(path string, s server.Settings) error {
	return saveFile(path, target{
		Instance: s.Instance(), Service: s.Service(), Listen: s.Listen(), Admin: s.Admin(), Ledger: s.Ledger(),
		behavior: encodeBehavior(s.Behavior()),
	})
}
