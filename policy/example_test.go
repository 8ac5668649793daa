package policy_test

import (
	"fmt"

	"hornbeamstep.example/policy"
)

func ExamplePolicy_AccountByKey() {
	p := policy.New().WithRevision(7).WithAccounts(map[string]policy.Account{
		"north": {Name: "north", Keys: []string{policy.Digest("secret")}, Class: policy.Urgent},
	})
	account, ok := p.AccountByKey("secret")
	fmt.Println(p.Revision, account.Name, ok)
	// Output: 7 north true
}
