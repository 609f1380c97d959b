package bootstrap

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"lockloom/internal/discovery"
	"lockloom/internal/settings"
)

const bytesPerMebibyte = 1 << 20

// launchFile is the JSON object in the launch file, whose format the platform publishes.
type launchFile struct {
	Seed      string          `json:"Seed"` // hexadecimal
	Discovery string          `json:"Discovery"`
	Operator  string          `json:"Operator"`
	Limits    machineLimits   `json:"Limits"`
	Known     *discovery.List `json:"Known"`
	Peers     Fleet           `json:"Peers"`
	Settings  map[string]any  `json:"Settings"`
}

type machineLimits struct {
	Cores    float64 `json:"Cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"Sockets"`
}

// Parse parses a launch file. It leaves Name, Listen and HotRestartDir empty: they are in environment variables. If the
// file has a discovery address, Read uses it instead of the environment variable's: unlike the variable, the file can
// be replaced while the program runs, so a reload can change the address.
func Parse(text []byte) (Config, error) {
	var file launchFile
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&file); err != nil {
		return Config{}, err
	}
	seed, err := file.check()
	if err != nil {
		return Config{}, err
	}
	values := map[string]string{}
	flatten(values, "", file.Settings)
	deployment, err := settings.Read(values, seed)
	if err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	if err := checkSettings(deployment, values, file.Peers); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	return Config{
		Discovery:      file.Discovery,
		AdminAddress:   file.Operator,
		Settings:       deployment,
		KnownEndpoints: *file.Known,
		Limits: Limits{
			Cores:   file.Limits.Cores,
			Memory:  int64(file.Limits.MemoryMB * bytesPerMebibyte),
			Sockets: file.Limits.Sockets,
		},
		Fleet: file.Peers,
	}, nil
}

// check returns the seed, or an error if a field is missing or invalid. It leaves the values under Settings, and Peers,
// to checkSettings.
func (f *launchFile) check() (seed uint64, err error) {
	if f.Known == nil || f.Settings == nil {
		return 0, errors.New("known or settings: missing")
	}
	seed, err = strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: not a 64-bit hexadecimal number: %q", f.Seed)
	}
	if !(f.Limits.Cores > 0) || !(f.Limits.MemoryMB > 0) || f.Limits.Sockets <= 0 {
		return 0, errors.New("limits: cores, memory_mb and sockets must be greater than 0")
	}
	if f.Discovery != "" {
		if err := checkAddress(f.Discovery); err != nil {
			return 0, fmt.Errorf("discovery: %w", err)
		}
	}
	if f.Operator != "" {
		if err := checkAddress(f.Operator); err != nil {
			return 0, fmt.Errorf("operator: %w", err)
		}
	}
	return seed, nil
}

// flatten adds a value under its key, in the form that settings.Read takes: dots join the keys of nested values.
func flatten(values map[string]string, key string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for name, inner := range value {
			flatten(values, strings.TrimPrefix(key+"."+name, "."), inner)
		}
	case []any:
		flattenList(values, key, value)
	case nil:
	default:
		values[key] = fmt.Sprint(value)
	}
}

// flattenList adds the list's length, its scalar values joined by commas, and each other value under its index.
func flattenList(values map[string]string, key string, list []any) {
	var scalars []string
	for i, inner := range list {
		switch inner.(type) {
		case map[string]any, []any:
			flatten(values, fmt.Sprintf("%s.%d", key, i), inner)
		default:
			scalars = append(scalars, fmt.Sprint(inner))
		}
	}
	values[key+".count"] = strconv.Itoa(len(list))
	values[key] = strings.Join(scalars, ",")
}
