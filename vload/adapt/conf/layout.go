package conf

import (
	"path/filepath"

	"verbenabank/vload/state/layout"
)

// ReadLayout reads the layout in the file at path. Its configuration folder is
// relative to that file.
func ReadLayout(path string) (layout.Layout, error) {
	var file struct {
		Zones    []string `json:"zones"`
		Services []struct {
			Name      string `json:"name"`
			Targets   int    `json:"servers"`
			Keyed     bool   `json:"keyed"`
			KeyHeader string `json:"key_header"`
			behavior
		} `json:"services"`
		Replicas      []string `json:"replicas"`
		Configuration string   `json:"configuration"`
	}
	if err := loadFile(path, &file); err != nil {
		return layout.Layout{}, err
	}
	services := make([]layout.Service, 0, len(file.Services))
	for _, s := range file.Services {
		b, err := s.decode()
		if err != nil {
			return layout.Layout{}, err
		}
		services = append(services, layout.NewService(s.Name, s.Targets, s.Keyed, b).WithKeyHeader(s.KeyHeader))
	}
	folder := filepath.Join(filepath.Dir(path), file.Configuration)
	return layout.New(file.Zones, services, file.Replicas, folder), nil
}
