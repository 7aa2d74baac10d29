package command

import (
	"sort"
	"strings"

	"github.com/sycamorecourse/sycamorecourse/daemon/controller"
	"github.com/sycamorecourse/sycamorecourse/daemon/gateway"
	"github.com/sycamorecourse/sycamorecourse/edge/settings"
)

// declareSettings maps each role to the function that declares its settings.
var declareSettings = map[string]func(*settings.Set){
	gateway.Role:    func(set *settings.Set) { new(gateway.Settings).Declare(set) },
	controller.Role: func(set *settings.Set) { new(controller.Settings).Declare(set) },
}

func roleNames() string {
	names := make([]string, 0, len(declareSettings))
	for name := range declareSettings {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
