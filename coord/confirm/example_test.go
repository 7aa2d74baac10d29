package confirm_test

import (
	"fmt"

	"github.com/sycamorecourse/sycamorecourse/coord/confirm"
)

// Two operators confirm plans against the same version. The second one gets a
// conflict that names the plan of the first.
func Example() {
	rows := table{} // in place of the table service
	for _, plan := range []string{"plan-17", "plan-18"} {
		confirmation := confirm.NewConfirmation(confirm.Proposal{
			Chain:  "federation",
			PlanID: plan,
			Base:   0,
			Value:  []byte("the whole configuration"),
		})
		step := confirmation.Begin()
		for step != nil {
			switch s := step.(type) {
			case confirm.Write:
				step = confirmation.Written(rows.apply(s.Transaction))
			case confirm.Read:
				found := rows[s.Key]
				step = confirmation.ReadResult(found, nil)
			case confirm.Confirmed:
				fmt.Println("version", s.Configuration.Version)
				step = nil
			case confirm.Rejected:
				fmt.Println(s.Err)
				step = nil
			}
		}
	}
	// Output:
	// version 1
	// plan plan-18 was made against version 0, but plan plan-17 has made version 1
}
