//! Reads single fields of the small flat JSON bodies that the system sends.

pub fn text_of(body: &str, name: &str) -> String {
    let value = body.split(&format!("\"{name}\":\"")).nth(1);
    value.and_then(|rest| rest.split('"').next()).unwrap_or_default().to_string()
}

pub fn number_of(body: &str, name: &str) -> u64 {
    let value = body.split(&format!("\"{name}\":")).nth(1).unwrap_or_default();
    let digits: String = value.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}
