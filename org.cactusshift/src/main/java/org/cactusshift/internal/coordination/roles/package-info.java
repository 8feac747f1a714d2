/** Which engines process prompts, generate tokens or do both, planned from what arrives. */
package org.cactusshift.internal.coordination.roles;
