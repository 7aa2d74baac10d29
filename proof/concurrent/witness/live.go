package witness

import (
	"encoding/json"
	"slices"

	"github.com/sycamorecourse/sycamorecourse/proof/concurrent/fetch"
	"github.com/sycamorecourse/sycamorecourse/standin/cloud"
)

// instancesPath lists the instances of the cloud.
const instancesPath = "/v1/instances"

// Live adds the upstreams that the cloud lists to those that are known.
func Live(client *fetch.Client, address string, known []string) ([]string, error) {
	body, err := client.Get(address, instancesPath)
	if err != nil {
		return nil, err
	}
	var list cloud.InstanceList
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, err
	}
	all := slices.Clone(known)
	for _, instance := range list.Instances {
		if !slices.Contains(all, instance.Address) {
			all = append(all, instance.Address)
		}
	}
	return all, nil
}
