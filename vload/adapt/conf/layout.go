package conf

import (
	"path/filepath"

	"verbenabank/vload/state/layout"
)

// ReadLayout returns the layout in the file at path. Its folder of configuration
// is relative to the file.
func ReadLayout(path string) (layout.Layout, error) {
	var wire struct {
		Zones    []string `json:"zones"`
		Services []struct {
			Name    string `json:"name"`
			Servers int    `json:"servers"`
			Keyed   bool   `json:"keyed"`
			Header  string `json:"key_header"`
			behavior
		} `json:"services"`
		Replicas      []string `json:"replicas"`
		Configuration string   `json:"configuration"`
	}
	if err := loadFile(path, &wire); err != nil {
		return layout.Layout{}, err
	}
	services := make([]layout.Service, 0, len(wire.Services))
	for _, s := range wire.Services {
		b, err := s.decode()
		if err != nil {
			return layout.Layout{}, err
		}
		services = append(services, layout.NewService(s.Name, s.Servers, s.Keyed, b).WithKeyHeader(s.Header))
	}
	folder := filepath.Join(filepath.Dir(path), wire.Configuration)
	return layout.New(wire.Zones, services, wire.Replicas, folder), nil
}
