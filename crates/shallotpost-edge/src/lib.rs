//! See docs/design.md, section 2.1.
