// SPDX-License-Identifier: Apache-2.0

// Package hostileclients tests a node, in a process of its own, beside clients that leave, hold data or flood it. The
// tests have a package of their own since they use much memory and processor time.
package hostileclients
