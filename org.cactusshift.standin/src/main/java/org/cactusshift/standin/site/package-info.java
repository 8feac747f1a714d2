/** Stand-ins for the users' platform as its pages describe it, as small as the tests need. */
package org.cactusshift.standin.site;
